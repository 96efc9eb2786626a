/** Generates the table of a node's settings for the documentation. */
import { settingDefinitions } from 'lentillb';

function escapeCell(text: string): string {
  return text.replaceAll('|', '\\|');
}

/** @returns the table in Markdown, with one setting per row */
export function renderSettingsTable(): string {
  const rows = Object.values(settingDefinitions).map(({ flag, variable, description, schema }) => {
    const given = schema.safeParse(undefined);
    const fallback = given.success ? `\`${String(given.data)}\`` : 'required';
    return `| \`--${flag}\` | \`${variable}\` | ${escapeCell(description)} | ${fallback === '``' ? 'none' : fallback} |`;
  });
  return ['| flag | variable | what it is | default |', '| --- | --- | --- | --- |', ...rows].join(
    '\n',
  );
}

/** The markers in the page that enclose the table. */
const BEGIN_MARKER = '<!-- settings: made by npm run docs -->';
const END_MARKER = '<!-- end of settings -->';

/**
 * @param page - the text of a page with both markers
 * @returns the page with the current table between the markers
 */
export function updateSettingsTable(page: string): string {
  const before = page.slice(0, page.indexOf(BEGIN_MARKER) + BEGIN_MARKER.length);
  return `${before}\n\n${renderSettingsTable()}\n\n${page.slice(page.indexOf(END_MARKER))}`;
}
