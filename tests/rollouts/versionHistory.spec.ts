import type { AnnouncedBackendServer } from 'lentillb/directory/announcement.js';
import { Directory } from 'lentillb/directory/directory.js';
import { VersionHistory } from 'lentillb/rollouts/versionHistory.js';
import { describe, expect, it } from 'vitest';

const SERVER = { id: 'i', service: 'desk', slots: 4, state: 'ready' } as const;

function fixture() {
  const directory = new Directory();
  const history = new VersionHistory(directory);
  let sequence = 0;
  const announce = (host: string, backendServer: AnnouncedBackendServer) => {
    sequence += 1;
    const described = history.describe(host, backendServer);
    const addresses = { gateAddress: `${host}:1`, peerAddress: `${host}:2` };
    directory.merge({
      host,
      zone: 'a',
      ...addresses,
      incarnation: 1,
      sequence,
      backendServer: described,
    });
    return described;
  };
  /** Returns the version that a node takes for the first one that knows only the newest records. */
  const lateIncumbent = () => new VersionHistory(directory).incumbentOf('desk');
  return { announce, history, lateIncumbent };
}

describe('history of versions', () => {
  it('should know the first version after all its backend servers were restarted', () => {
    const { announce, history, lateIncumbent } = fixture();
    announce('a', { ...SERVER, startedAtMs: 1_000, version: 'v9' });
    announce('b', { ...SERVER, startedAtMs: 2_000, version: 'v2' });
    announce('a', { ...SERVER, startedAtMs: 3_000, version: 'v9' });
    expect(history.incumbentOf('desk')).toBe('v9');
    expect(lateIncumbent()).toBe('v9');
  });

  it('should know the version of the last rollout that completed', () => {
    const { announce, history, lateIncumbent } = fixture();
    announce('a', { ...SERVER, startedAtMs: 1_000, version: 'v1' });
    announce('b', { ...SERVER, startedAtMs: 2_000, version: 'v2' });
    history.learn('desk', 'v2', { order: 7, sinceMs: 9_000 });
    announce('b', { ...SERVER, startedAtMs: 2_000, version: 'v2' });
    expect(lateIncumbent()).toBe('v2');
    announce('c', { ...SERVER, startedAtMs: 4_000, version: 'v2' });
    expect(lateIncumbent()).toBe('v2');
  });

  it('should let a version serve once the one before is announced no more', () => {
    const { announce, history } = fixture();
    announce('a', { ...SERVER, startedAtMs: 1_000, version: 'v1' });
    announce('b', { ...SERVER, startedAtMs: 2_000, version: 'v2' });
    announce('a', { ...SERVER, startedAtMs: 1_000, version: 'v1', state: 'leaving' });
    expect(history.isMixed('desk')).toBe(true);
    expect(history.incumbentOf('desk')).toBe('v1');
    announce('a', { ...SERVER, startedAtMs: 3_000, version: 'v2' });
    expect(history.isMixed('desk')).toBe(false);
    expect(history.incumbentOf('desk')).toBe('v2');
  });

  it('should announce no more than before while a run and the rollouts stay the same', () => {
    const { announce } = fixture();
    const server = { ...SERVER, startedAtMs: 5_000, version: 'v1' };
    expect(announce('a', server)).toBe(server);
    announce('b', { ...SERVER, startedAtMs: 4_000, version: 'v1' });
    expect(announce('a', server)).toBe(server);
  });
});
