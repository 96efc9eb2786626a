import { BackendServerState } from 'lentillb/directory/announcement.js';
import type { Heartbeat } from 'lentillb/serving/localBackendServer.js';
import { HeartbeatEffect, LocalBackendServer } from 'lentillb/serving/localBackendServer.js';
import { describe, expect, it, vi } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

const FIRST: Heartbeat = {
  id: 'i-1',
  service: 'postbag',
  address: '10.0.0.1:80',
  slots: 10,
  draining: false,
  warmupLeftMs: 0,
  sequence: 1,
  startedAtMs: 1_000,
};

function fixture() {
  const clock = new ManualClock();
  let changes = 0;
  const server = new LocalBackendServer(clock, () => {
    changes += 1;
  });
  server.finishRestoring();
  changes = 0;
  return { clock, server, changes: () => changes };
}

describe('local backend server of a restarted node', () => {
  it('should not be ready by a delayed heartbeat before its confirmed departure is known', () => {
    const server = new LocalBackendServer(new ManualClock(), () => undefined);
    server.accept(FIRST);
    expect(server.ready).toBe(false);
    const { id, service, slots, startedAtMs } = FIRST;
    server.restore({ id, service, slots, startedAtMs, state: 'leaving' }, FIRST.address);
    server.finishRestoring();
    expect(server.ready).toBe(false);
  });

  it('should count as inherited only while the run that was announced before goes on', () => {
    const { server } = fixture();
    const { address, id, service, slots, startedAtMs } = FIRST;
    server.restore({ id, service, slots, startedAtMs, state: BackendServerState.Ready }, address);
    expect(server.isInherited).toBe(true);
    server.accept({ ...FIRST, id: 'i-2', startedAtMs: 2_000 });
    expect(server.isInherited).toBe(false);
  });

  it('should be ready once the records of earlier runs are known', () => {
    let changes = 0;
    const server = new LocalBackendServer(new ManualClock(), () => {
      changes += 1;
    });
    server.accept(FIRST);
    server.finishRestoring();
    expect(server.ready).toBe(true);
    expect(changes).toBe(2);
  });
});

describe('local backend server', () => {
  it('should be ready from its first heartbeat on, and announce the change once', () => {
    const { changes, server } = fixture();
    expect(server.accept(FIRST)).toBe(HeartbeatEffect.Changed);
    expect(server.accept({ ...FIRST, sequence: 2 })).toBe(HeartbeatEffect.Unchanged);
    expect(server.ready).toBe(true);
    expect(changes()).toBe(1);
  });

  it('should announce the version of its run, also when only the version changes', () => {
    const { server } = fixture();
    server.accept(FIRST);
    expect(server.announced).not.toHaveProperty('version');
    const effect = server.accept({ ...FIRST, sequence: 2, version: 'v2' });
    expect(effect).toBe(HeartbeatEffect.Changed);
    expect(server.announced?.version).toBe('v2');
  });

  it('should not become ready by a heartbeat after the run stated its departure in an answer', () => {
    const { changes, server } = fixture();
    server.accept(FIRST);
    expect(server.recordStatedDeparture('i-1')).toBe(HeartbeatEffect.Changed);
    expect(server.recordStatedDeparture('i-1')).toBe(HeartbeatEffect.Unchanged);
    expect(server.accept({ ...FIRST, sequence: 2 })).toBe(HeartbeatEffect.Outdated);
    expect(server.ready).toBe(false);
    expect(changes()).toBe(2);
    server.accept({ ...FIRST, sequence: 1, startedAtMs: 2_000 });
    expect(server.ready).toBe(true);
  });

  it('should ignore the departure that another run stated', () => {
    const { server } = fixture();
    server.accept(FIRST);
    expect(server.recordStatedDeparture('i-0')).toBe(HeartbeatEffect.Outdated);
    expect(server.ready).toBe(true);
  });

  it('should not become ready by a delayed heartbeat after a draining heartbeat', () => {
    const { server } = fixture();
    server.accept(FIRST);
    server.accept({ ...FIRST, sequence: 3, draining: true });
    expect(server.ready).toBe(false);
    expect(server.accept({ ...FIRST, sequence: 2 })).toBe(HeartbeatEffect.Outdated);
    expect(server.accept({ ...FIRST, sequence: 4 })).toBe(HeartbeatEffect.Outdated);
    expect(server.ready).toBe(false);
  });

  it('should not become ready by a delayed heartbeat after its departure', () => {
    const { server } = fixture();
    server.accept(FIRST);
    expect(server.markDeparted('i-1')).toBe(HeartbeatEffect.Changed);
    expect(server.accept({ ...FIRST, sequence: 9 })).toBe(HeartbeatEffect.Outdated);
    expect(server.ready).toBe(false);
  });

  it('should become ready for a later run with the same identity and a restarted sequence', () => {
    const { clock, server } = fixture();
    server.accept({ ...FIRST, sequence: 50 });
    server.markDeparted('i-1');
    const restarted = { ...FIRST, sequence: 1, startedAtMs: clock.now().getTime() + 1 };
    expect(server.accept(restarted)).toBe(HeartbeatEffect.Changed);
    expect(server.ready).toBe(true);
  });

  it('should ignore a delayed heartbeat of an earlier run at the same address', () => {
    const { server } = fixture();
    server.accept({ ...FIRST, id: 'i-2', startedAtMs: 9_000 });
    expect(server.accept({ ...FIRST, sequence: 99 })).toBe(HeartbeatEffect.Outdated);
    expect(server.heartbeat?.id).toBe('i-2');
  });

  it('should not become ready for a run that departed before this node had heard of it', () => {
    const { server } = fixture();
    server.accept(FIRST);
    expect(server.markDeparted('i-1')).toBe(HeartbeatEffect.Changed);
    // A second run had started under the same identity, and the departure was its own.
    const second = { ...FIRST, startedAtMs: 2_000 };
    expect(server.accept(second)).toBe(HeartbeatEffect.Outdated);
    expect(server.ready).toBe(false);
  });

  it('should become ready for a run that keeps sending heartbeats after a fast wall clock', async () => {
    const { clock, server } = fixture();
    server.markDeparted('i-1');
    expect(server.accept(FIRST)).toBe(HeartbeatEffect.Outdated);
    await clock.advance(3_000);
    expect(server.accept({ ...FIRST, sequence: 2 })).toBe(HeartbeatEffect.Changed);
    expect(server.ready).toBe(true);
  });

  it('should restore a departure that the node announced before a restart', () => {
    const { server } = fixture();
    const { id, service, slots, startedAtMs } = FIRST;
    server.restore({ id, service, slots, startedAtMs, state: BackendServerState.Leaving }, '');
    expect(server.accept(FIRST)).toBe(HeartbeatEffect.Outdated);
    expect(server.ready).toBe(false);
  });

  it('should restore a ready backend server until its heartbeat is overdue', async () => {
    const { clock, server } = fixture();
    const { address, id, service, slots, startedAtMs } = FIRST;
    server.restore({ id, service, slots, startedAtMs, state: BackendServerState.Ready }, address);
    expect(server.ready).toBe(true);
    expect(server.heartbeat?.address).toBe(address);
    await clock.advance(4_000);
    expect(server.ready).toBe(false);
    expect(server.accept(FIRST)).toBe(HeartbeatEffect.Changed);
    expect(server.ready).toBe(true);
  });

  it('should keep a restored backend server ready once a heartbeat confirms it', async () => {
    const { clock, server } = fixture();
    const { address, id, service, slots, startedAtMs } = FIRST;
    server.restore({ id, service, slots, startedAtMs, state: BackendServerState.Ready }, address);
    expect(server.accept(FIRST)).toBe(HeartbeatEffect.Unchanged);
    await clock.advance(4_000);
    expect(server.ready).toBe(true);
  });

  it('should not count as leaving after a pause if a heartbeat that confirms it is not read yet', async () => {
    const { changes, clock, server } = fixture();
    const { address, id, service, slots, startedAtMs } = FIRST;
    const after = clock.after.bind(clock);
    // Timers fire before the input that arrived during a pause is read.
    vi.spyOn(clock, 'after').mockImplementation((delayMs, action) =>
      after(delayMs, () => {
        action();
        setImmediate(() => server.accept(FIRST));
      }),
    );
    server.restore({ id, service, slots, startedAtMs, state: BackendServerState.Ready }, address);
    await clock.advance(4_000);
    expect(server.ready).toBe(true);
    expect(changes()).toBe(1);
  });

  it('should not be ready after a misdirected request until the next heartbeat', () => {
    const { server } = fixture();
    server.accept(FIRST);
    server.recordMisdirectedRequest();
    expect(server.ready).toBe(false);
    server.accept({ ...FIRST, id: 'i-2', startedAtMs: 2_000 });
    expect(server.ready).toBe(true);
  });

  it('should be cold until its warm-up ends', async () => {
    const { clock, server } = fixture();
    server.accept({ ...FIRST, warmupLeftMs: 500 });
    expect(server.warmingUp).toBe(true);
    await clock.advance(501);
    expect(server.warmingUp).toBe(false);
  });
});
