/** Reads rule files and the version that they were edited from. */
import { readFile } from 'node:fs/promises';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';

const BASE_VERSION_LINE = /^# edited from version (\d{1,9})\n/;

/** A rule file, split into its rules and the version it was edited from. */
export interface EditedFile {
  /** The text to publish. */
  readonly text: string;
  /** The version it was edited from; undefined if the first line does not name it. */
  readonly base?: number;
}

/**
 * Reads a rule file. The line that names the base version is removed from its text.
 *
 * @param file - the path of the file
 * @returns the file, or an error if it cannot be read
 */
export async function readEditedFile(file: string): Promise<Result<EditedFile, string>> {
  try {
    const text = await readFile(file, 'utf8');
    const base = BASE_VERSION_LINE.exec(text)?.[1];
    return Ok({
      text: text.replace(BASE_VERSION_LINE, ''),
      base: base === undefined ? undefined : Number(base),
    });
  } catch (error) {
    return Err(`read ${file}: ${(error as Error).message}; check the path`);
  }
}

/**
 * @param text - the text of a version
 * @param version - the version
 * @returns the text with a first line that names the version as its base
 */
export function addBaseVersionLine(text: string, version: number): string {
  return `# edited from version ${version}\n${text}`;
}
