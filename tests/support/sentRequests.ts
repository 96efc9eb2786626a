/** Records when requests are written to connections, whatever part of the program writes them. */
import { ClientRequest } from 'node:http';
import { vi } from 'vitest';

/** A request that was written. */
export interface WrittenRequest {
  /** The value of the header that names the request. */
  readonly id: string;
  /** The time of the write, in milliseconds since the epoch. */
  readonly atMs: number;
  /** Whether it is addressed to the node of another host. */
  readonly isForGate: boolean;
}

const GATE_HEADER = 'lentillb-q';

/**
 * Records the requests that are written until the mocks are restored.
 *
 * @param idHeader - the name of the header that names a request
 * @param onWritten - called after each write
 * @returns the list to which requests are added
 */
export function recordWrites(
  idHeader: string,
  onWritten: (request: WrittenRequest) => void = () => undefined,
): readonly WrittenRequest[] {
  const written: WrittenRequest[] = [];

  const { end } = ClientRequest.prototype;
  vi.spyOn(ClientRequest.prototype, 'end').mockImplementation(function recordEnd(
    this: ClientRequest,
    ...content: unknown[]
  ) {
    const request = {
      id: `${this.getHeader(idHeader)?.toString()}`,
      atMs: performance.timeOrigin + performance.now(),
      isForGate: this.getHeader(GATE_HEADER) !== undefined,
    };
    written.push(request);
    Reflect.apply(end, this, content);
    onWritten(request);
    return this;
  });
  return written;
}
