/** A backend server that speaks the platform's protocol and misbehaves on request. */
import { runInBackground } from 'lentillb/sidecar';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { endServer, listenOnLoopback, loopbackAddress } from './loopback.js';
import { readWhole } from './readWhole.js';

/** One run of a request. */
export interface Run {
  readonly requestId: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** Whether its connection was closed before it was answered. */
  abandoned: boolean;
}

/** Answers a run. */
export type Behaviour = (response: ServerResponse, run: Run) => void;

/** Answers with success, with the body of the request. */
export const answerWell: Behaviour = (response, { body, requestId }) => {
  response.writeHead(200, { 'x-attempt-id': requestId, 'x-server-seal': 'seal' });
  response.end(`ran ${body}`);
};

/** A backend server on loopback. */
export class ScriptedBackendServer {
  readonly runs: Run[] = [];

  private behaviour: Behaviour = answerWell;

  private readonly server: Server;

  /** @param id - the identity of this run of it */
  constructor(readonly id: string) {
    this.server = createServer((request, response) => {
      runInBackground(this.run(request, response));
    });
  }

  get address(): string {
    return loopbackAddress(this.server);
  }

  /** @param behaviour - how it answers from now on */
  behave(behaviour: Behaviour): void {
    this.behaviour = behaviour;
  }

  async listen(): Promise<void> {
    await listenOnLoopback(this.server);
  }

  async close(): Promise<void> {
    await endServer(this.server);
  }

  private async run(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readWhole(request);
    if (body === undefined) {
      return;
    }
    if (request.headers['x-expected-instance'] !== this.id) {
      response.writeHead(421, { 'x-instance-id': this.id });
      response.end();
      return;
    }
    const requestId = String(request.headers['x-attempt-id']);
    const { headers } = request;
    const run: Run = { requestId, headers, body: body.toString('utf8'), abandoned: false };
    this.runs.push(run);
    response.once('close', () => {
      run.abandoned = !response.writableFinished;
    });
    this.behaviour(response, run);
  }
}
