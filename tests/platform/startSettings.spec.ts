import { decodeSettings } from '@lentillb/platform';
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import { createPlatformSettings, PlatformProgram } from '../support/platformProgram.js';

/** Exit code of a program whose settings are invalid, as in docs/OPERATIONS.md. */
const INVALID_SETTINGS = 78;

let program: PlatformProgram;

beforeAll(async () => {
  program = await PlatformProgram.build();
});

afterEach(() => program.killAll());

afterAll(() => program.remove());

describe('settings at a start', () => {
  it.each([
    ['empty', () => ''],
    ['cut in half', (text: string) => text.slice(0, text.length / 2)],
    ['of another platform', () => '{"self":{}}'],
  ])('should be read again while the file is %s, and not end the program', async (_, spoil) => {
    const text = JSON.stringify(await createPlatformSettings());
    const file = await program.write('node.json', spoil(text));
    const started = program.start(file);
    await started.logged('settings-not-read');
    await program.write('node.json', text);
    await started.logged('started');
  });

  it('should be awaited while the file is replaced', async () => {
    const started = program.start(program.pathOf('late.json'));
    await started.logged('settings-not-read');
    await program.write('late.json', JSON.stringify(await createPlatformSettings()));
    await started.logged('started');
  });

  it('should end the program with a last line that names the field when they stay invalid', async () => {
    const settings = await createPlatformSettings();
    const self = { ...settings.self, 'app-addr': null };
    const file = await program.write('bad.json', JSON.stringify({ ...settings, self }));
    const started = program.start(file);
    expect(await started.ended).toEqual({ code: INVALID_SETTINGS, signal: null });
    const last = started.lines.at(-1);
    expect(last).toMatchObject({ event: 'ended', cause: 'invalid-settings', level: 60 });
    expect(last?.message).toContain('self.app-addr');
  });

  it('should end the program at once when no variable names the file', async () => {
    const started = program.start('');
    expect(await started.ended).toEqual({ code: INVALID_SETTINGS, signal: null });
    expect(started.lines.at(-1)?.message).toContain('LENTILLB_SETTINGS');
  });

  it.each([
    ['limits', { limits: null }],
    ['link-mbps', { limits: { 'link-mbps': null } }],
  ])('should not be rejected for the empty field %s', async (_, fields) => {
    const settings = await createPlatformSettings();
    const decoded = decodeSettings({ ...settings, self: { ...settings.self, ...fields } });
    expect(decoded.unwrap().linkMegabits).toBeUndefined();
  });
});
