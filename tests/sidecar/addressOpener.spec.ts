import { createServer } from 'node:net';
import { DecisionLog } from 'lentillb/observability/decisionLog.js';
import { AddressOpener, describeAddressFailure } from 'lentillb/sidecar/addressOpener.js';
import type { AddressEvents, AddressListener } from 'lentillb/utils/addressListener.js';
import { ServerAddress } from 'lentillb/utils/addressListener.js';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { freeAddress } from '../support/freeAddress.js';
import { ManualClock } from '../support/manualClock.js';
import { recordUncaughtErrors } from '../support/uncaughtErrors.js';
import type { UncaughtErrors } from '../support/uncaughtErrors.js';

const TIMEOUT_MS = 4_000;

class ScriptedListener implements AddressListener {
  readonly address = '127.0.0.1:80';

  attempts = 0;

  isOpen = false;

  events: AddressEvents | undefined;

  isAvailable = false;

  constructor(readonly use: string) {}

  open(events: AddressEvents): Promise<Result<void, NodeJS.ErrnoException>> {
    this.attempts += 1;
    if (!this.isAvailable) {
      return Promise.resolve(Err(Object.assign(new Error('in use'), { code: 'EADDRINUSE' })));
    }
    this.events = events;
    this.isOpen = true;
    return Promise.resolve(Ok(undefined));
  }

  close(): void {
    this.isOpen = false;
  }
}

let clock: ManualClock;
let lines: Readonly<Record<string, unknown>>[];
let opener: AddressOpener;
let listener: ScriptedListener;
let uncaught: UncaughtErrors;

function linesOf(event: string): readonly Readonly<Record<string, unknown>>[] {
  return lines.filter((line) => line.event === event);
}

beforeEach(() => {
  clock = new ManualClock();
  lines = [];
  const record = (fields: object): void => {
    lines.push(fields as Record<string, unknown>);
  };
  const log = new DecisionLog(clock, { info: record, warn: record });
  opener = new AddressOpener({ clock, log }, TIMEOUT_MS);
  listener = new ScriptedListener('callers');
  uncaught = recordUncaughtErrors();
});

afterEach(() => uncaught.stop());

describe('opening an address', () => {
  it('should not end its attempts before the named time, nor go on after it', async () => {
    const opening = opener.openAll([listener]);
    await clock.advance(TIMEOUT_MS);
    const opened = await opening;
    const failure = opened.unwrapErr();
    expect(failure).toMatchObject({ use: 'callers', address: '127.0.0.1:80', code: 'EADDRINUSE' });
    expect(failure).toMatchObject({ attempts: listener.attempts, waitedMs: TIMEOUT_MS });
    expect(describeAddressFailure(failure)).toContain('127.0.0.1:80 for callers: EADDRINUSE');
    expect(linesOf('address-unavailable')).toHaveLength(listener.attempts);
    await clock.advance(TIMEOUT_MS);
    expect(linesOf('address-unavailable')).toHaveLength(listener.attempts);
  });

  it('should not let a taken address hold back another one', async () => {
    const other = new ScriptedListener('gossip');
    other.isAvailable = true;
    const opening = opener.openAll([listener, other]);
    await clock.advance(100);
    expect([other.isOpen, opener.allOpen]).toEqual([true, false]);
    listener.isAvailable = true;
    await clock.advance(1_000);
    expect((await opening).isOk()).toBe(true);
    expect(opener.allOpen).toBe(true);
    expect(linesOf('address-opened')).toMatchObject([{ use: 'callers' }]);
  });

  it('should not keep an address that is opened after a stop', async () => {
    const opening = opener.openAll([listener]);
    await clock.advance(10);
    listener.isAvailable = true;
    opener.stop();
    await clock.advance(TIMEOUT_MS);
    expect((await opening).isOk()).toBe(true);
    expect(listener.isOpen).toBe(false);
  });
});

describe('an open address', () => {
  async function open(): Promise<AddressEvents> {
    listener.isAvailable = true;
    (await opener.openAll([listener])).unwrap();
    return listener.events as AddressEvents;
  }

  it('should not end the process or flood the log with errors that repeat', async () => {
    const server = createServer();
    const address = new ServerAddress('callers', await freeAddress(), server);
    (await opener.openAll([address])).unwrap();
    for (let count = 0; count < 1_000; count += 1) {
      server.emit('error', Object.assign(new Error('accept'), { code: 'ENFILE' }));
    }
    await clock.advance(3_000);
    expect(linesOf('address-error')).toMatchObject([
      { use: 'callers', address: address.address, code: 'ENFILE', count: 1 },
      { code: 'ENFILE', count: 999 },
    ]);
    expect(opener.allOpen).toBe(true);
    opener.stop();
    server.close();
  });

  it('should not stay closed when the node did not close it', async () => {
    const { onClosed } = await open();
    listener.isOpen = false;
    onClosed();
    await clock.advance(10);
    expect(listener.isOpen).toBe(true);
    expect(linesOf('address-lost')).toHaveLength(1);
  });

  it('should not be missing without an end of the process', async () => {
    const { onClosed } = await open();
    listener.isAvailable = false;
    onClosed();
    await clock.advance(10);
    expect(opener.allOpen).toBe(false);
    await clock.advance(TIMEOUT_MS);
    expect(uncaught.messages.join()).toContain('cannot open 127.0.0.1:80 for callers');
  });

  it('should not be opened again after a planned stop', async () => {
    const { onClosed } = await open();
    opener.stop();
    listener.isOpen = false;
    onClosed();
    await clock.advance(TIMEOUT_MS);
    expect(listener.isOpen).toBe(false);
  });
});
