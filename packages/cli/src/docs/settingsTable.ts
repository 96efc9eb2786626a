/** The settings of a node as a table for the operators' page. */
import { settingDefinitions } from 'lentillb';

function cell(text: string): string {
  return text.replaceAll('|', '\\|');
}

/** @returns the table in Markdown, one setting a row */
export function settingsTable(): string {
  const rows = Object.values(settingDefinitions).map(({ flag, variable, description, schema }) => {
    const given = schema.safeParse(undefined);
    const fallback = given.success ? `\`${String(given.data)}\`` : 'required';
    return `| \`--${flag}\` | \`${variable}\` | ${cell(description)} | ${fallback === '``' ? 'none' : fallback} |`;
  });
  return ['| flag | variable | what it is | default |', '| --- | --- | --- | --- |', ...rows].join(
    '\n',
  );
}

/** The lines between which the table stands in the page. */
const BEGIN = '<!-- settings: made by npm run docs -->';
const END = '<!-- end of settings -->';

/**
 * @param page - the operators' page
 * @returns the page with the table as it is now
 */
export function withSettings(page: string): string {
  const before = page.slice(0, page.indexOf(BEGIN) + BEGIN.length);
  return `${before}\n\n${settingsTable()}\n\n${page.slice(page.indexOf(END))}`;
}
