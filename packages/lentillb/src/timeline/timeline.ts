/** Records what happens on this node, up to a limited number of events. */
import type { Services } from '../kernel/services.js';
import type { EventKind, EventSubject, TimelineEvent } from './event.js';

/** Limits how many events a node keeps. */
export const MAX_EVENTS = 4_000;

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
   * Records an event with the current time and passes it to the listeners.
   *
   * @param kind - the kind of event
   * @param subject - what the event is about
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
    if (this.events.length > MAX_EVENTS) {
      this.events.shift();
    }
    logger.debug({ event }, kind);
    this.listeners.forEach((listener) => listener(event));
  }

  /**
   * @param afterSequence - the last sequence number that the reader has; 0 for all events
   * @returns the later events that are still kept, oldest first
   */
  eventsAfter(afterSequence: number): readonly TimelineEvent[] {
    return this.events.filter((event) => event.sequence > afterSequence);
  }

  /**
   * @param listener - called with every new event
   * @returns a function that ends the subscription
   */
  subscribe(listener: EventListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
}
