/** Rule files on the operator's side: reading them, and the version they were edited from. */
import { readFile } from 'node:fs/promises';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';

const BASE_LINE = /^# edited from version (\d{1,9})\n/;

/** A rule file as the operator has it. */
export interface EditedFile {
  /** The text to publish. */
  readonly text: string;
  /** The version it was edited from; undefined where the file does not say. */
  readonly base?: number;
}

/**
 * @param file - a path
 * @returns the file, without the line that says what it was edited from; or why it was not read
 */
export async function readEditedFile(file: string): Promise<Result<EditedFile, string>> {
  try {
    const text = await readFile(file, 'utf8');
    const base = BASE_LINE.exec(text)?.[1];
    return Ok({
      text: text.replace(BASE_LINE, ''),
      base: base === undefined ? undefined : Number(base),
    });
  } catch (error) {
    return Err(`read ${file}: ${(error as Error).message}; check the path`);
  }
}

/**
 * @param text - the text of a version
 * @param version - the version
 * @returns the text with a first line that says what it is edited from
 */
export function markBase(text: string, version: number): string {
  return `# edited from version ${version}\n${text}`;
}
