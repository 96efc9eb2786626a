/** The bounded record of what happened on this node. */
import type { Services } from '../kernel/services.js';
import type { EventKind, EventSubject, TimelineEvent } from './event.js';

/** How many events a node keeps. */
export const EVENTS_KEPT = 4_000;

/** Receives every new event. */
export type EventListener = (event: TimelineEvent) => void;

/** The latest events of this node. */
export class Timeline {
  private readonly events: TimelineEvent[] = [];

  private readonly listeners = new Set<EventListener>();

  private sequence = 0;

  private readonly services: Pick<Services, 'clock' | 'settings' | 'logger' | 'identity'>;

  constructor(services: Pick<Services, 'clock' | 'settings' | 'logger' | 'identity'>) {
    this.services = services;
  }

  /**
   * Records an event where it happens.
   *
   * @param kind - what happened
   * @param subject - what it is about
   */
  record(kind: EventKind, subject: EventSubject = {}): void {
    const { clock, settings, identity, logger } = this.services;
    this.sequence += 1;
    const event: TimelineEvent = {
      kind,
      host: settings.host,
      zone: settings.zone,
      incarnation: identity.incarnation,
      sequence: this.sequence,
      at: clock.now().toISOString(),
      monotonicMs: Math.round(clock.monotonicMs()),
      ...subject,
    };
    this.events.push(event);
    if (this.events.length > EVENTS_KEPT) {
      this.events.shift();
    }
    logger.debug({ event }, kind);
    this.listeners.forEach((listener) => listener(event));
  }

  /**
   * @param afterSequence - the last sequence already known; 0 for all
   * @returns the events kept after it, oldest first
   */
  after(afterSequence: number): readonly TimelineEvent[] {
    return this.events.filter((event) => event.sequence > afterSequence);
  }

  /**
   * @param listener - called with every new event
   * @returns ends the subscription
   */
  subscribe(listener: EventListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
}
