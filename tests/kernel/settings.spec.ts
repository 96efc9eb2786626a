import { readSettings, settingDefinitions } from 'lentillb';
import { describe, expect, it } from 'vitest';

const REQUIRED = { host: 'h1', zone: 'z1', logUrl: 'http://127.0.0.1:7500' };

describe('settings', () => {
  it('should prefer a flag to its environment variable, and that to the default', () => {
    const environment = { LENTILLB_ZONE: 'from-variable', LENTILLB_CALL_PORT: '7999' };
    const settings = readSettings({ ...REQUIRED, callPort: '7001' }, environment).unwrap();
    expect([settings.zone, settings.callPort, settings.gatePort]).toEqual(['z1', 7001, 7401]);
    const settingsFromEnvironment = readSettings(
      { host: 'h', logUrl: REQUIRED.logUrl },
      environment,
    ).unwrap();
    expect([settingsFromEnvironment.zone, settingsFromEnvironment.callPort]).toEqual([
      'from-variable',
      7999,
    ]);
  });

  it('should report all faults at once, with flag and variable', () => {
    const faults = readSettings({ callPort: 'many', peers: 'nowhere' }, {}).unwrapErr();
    expect(faults.map(({ setting }) => setting)).toEqual([
      'host',
      'zone',
      'callPort',
      'logUrl',
      'peers',
    ]);
    expect(faults[2]?.message).toContain('--call-port (or LENTILLB_CALL_PORT) cannot be "many"');
  });

  it('should treat an empty variable as not given', () => {
    const settings = readSettings(REQUIRED, { LENTILLB_CALL_PORT: '' }).unwrap();
    expect(settings.callPort).toBe(7400);
  });

  it('should give every setting a flag, a variable and a description', () => {
    Object.values(settingDefinitions).forEach(({ flag, variable, description }) => {
      expect(variable).toBe(`LENTILLB_${flag.replaceAll('-', '_').toUpperCase()}`);
      expect(description.length).toBeGreaterThan(10);
    });
  });
});
