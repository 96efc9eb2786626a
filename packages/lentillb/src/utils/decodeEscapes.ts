/** Decodes percent-escapes in text that comes from outside. */

/**
 * Decodes percent-escapes. The decoder of the language throws where they are malformed.
 *
 * @param text - the text with escapes
 * @returns the decoded text, or undefined if an escape is malformed
 */
export function decodeEscapes(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}
