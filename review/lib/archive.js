/** A service with long answers: a route to it, and what its backends do. */
import { createHash } from 'node:crypto';

/** The body of each answer. */
export const BODY = Buffer.alloc(15 * 1024 * 1024, 'letters to the editor, public archive page\n');

const DIGEST = createHash('sha256').update(BODY).digest('hex').slice(0, 8);

/** The route of the configuration. */
export const archive = {
  hostname: 'archive.example',
  'path-prefix': '/archive/',
  'route-type': 'idempotent',
  timeout: '10s',
  'target-latency': '5s',
  priority: 1,
  service: 'reading-room',
  'max-attempts': 2,
};

/**
 * Returns what a backend does with a request: it answers at once.
 *
 * @param options - `hasLength`: whether the answer has a length, or ends with its connection;
 *   `record`, which writes a line to the record
 */
export function runArchive({ hasLength, record }) {
  return ({ attempt }, response) => {
    record(`request ${attempt} runs; its answer has ${BODY.length} bytes`);
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, {
      'x-attempt-id': attempt,
      'x-server-seal': `1.1.1.${BODY.length}.0.${DIGEST}`,
      ...(hasLength ? { 'content-length': BODY.length } : { connection: 'close' }),
    });
    response.end(BODY);
  };
}
