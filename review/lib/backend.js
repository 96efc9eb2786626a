/** A stand-in for a backend, as PROTOCOL.md describes it: runs requests and sends heartbeats. */
import { createServer, request as openRequest } from 'node:http';

const HEARTBEAT_MS = 1_500;
const CONFIRMATION_MS = 1_000;

/** A backend beside one node. */
export class Backend {
  #server;

  #timer;

  #sequence = 0;

  #born = Date.now();

  #sockets = new Set();

  /**
   * @param options - `id`, `service`, `zone`, `address`, `controlAddress`, and `run`, which gets each
   *   request that the backend begins to work on, with its response
   */
  constructor(options) {
    this.options = options;
    this.#server = createServer((request, response) => this.#serve(request, response));
    this.#server.keepAliveTimeout = 10_000;
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
    });
  }

  async start() {
    const [ip, port] = this.options.address.split(':');
    await new Promise((resolve) => {
      this.#server.listen(Number(port), ip, resolve);
    });
    this.#beat();
    this.#timer = setInterval(() => this.#beat(), HEARTBEAT_MS);
  }

  /** Says that it leaves by `DELETE`, without `draining` before. Returns whether it was confirmed. */
  async leave() {
    clearInterval(this.#timer);
    return this.#call('DELETE');
  }

  /** Ends at once; what it runs is lost. */
  end() {
    clearInterval(this.#timer);
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server.close();
  }

  #beat() {
    const { address, service, zone } = this.options;
    this.#sequence += 1;
    const body = {
      service,
      address,
      zone,
      version: 'v1',
      capacity: 10,
      state: 'ready',
      'warmup-left': '0ms',
      sequence: this.#sequence,
      born: this.#born,
    };
    this.#call('PUT', JSON.stringify(body));
  }

  #call(method, body = '') {
    const [host, port] = this.options.controlAddress.split(':');
    return new Promise((resolve) => {
      const outgoing = openRequest({
        host,
        port,
        method,
        path: `/instances/${this.options.id}`,
        headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) },
        timeout: CONFIRMATION_MS,
        agent: false,
      });
      outgoing.once('timeout', () => outgoing.destroy());
      outgoing.once('error', () => resolve(false));
      outgoing.once('response', (response) => {
        response.resume();
        response.once('end', () => resolve(response.statusCode === 200));
      });
      outgoing.end(body);
    });
  }

  async #serve(request, response) {
    const { id, run } = this.options;
    const chunks = [];
    try {
      for await (const chunk of request) {
        chunks.push(chunk);
      }
    } catch {
      return;
    }
    const expected = request.headers['x-expected-instance'];
    const attempt = request.headers['x-attempt-id'];
    if (request.url === '/healthz') {
      response.writeHead(200, { 'x-instance-id': id });
      response.end();
    } else if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'x-not-executed': '1', 'x-attempt-id': attempt });
      response.end();
    } else {
      run(
        { attempt, method: request.method, path: request.url, body: Buffer.concat(chunks) },
        response,
      );
    }
  }
}
