/** A stand-in for the platform's store, as PROTOCOL.md describes it: keyed topics in memory. */
import { createServer } from 'node:http';

const LENGTH_BYTES = 4;

function splitRecords(body) {
  const records = [];
  let position = 0;
  while (position + LENGTH_BYTES <= body.length) {
    const end = position + LENGTH_BYTES + body.readUInt32BE(position);
    records.push(body.subarray(position + LENGTH_BYTES, end));
    position = end;
  }
  return records;
}

function withLength(record) {
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(record.length);
  return Buffer.concat([length, record]);
}

function offsetBytes(offset) {
  const bytes = Buffer.alloc(8);
  bytes.writeBigUInt64BE(BigInt(offset));
  return bytes;
}

function keyOf(record) {
  return record.subarray(1, 1 + record[0]).toString('utf8');
}

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

function sendJson(response, status, value) {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}

/** A store that can be taken down: it then answers 503, which promises that nothing was done. */
export class Store {
  isDown = false;

  #topics = new Map();

  #waiting = new Set();

  #server = createServer((request, response) => {
    this.#serve(request, response).catch(() => response.destroy());
  });

  /** Listens at a free port of an address, and returns both. */
  async listen(ip) {
    await new Promise((resolve) => {
      this.#server.listen(0, ip, resolve);
    });
    return `${ip}:${this.#server.address().port}`;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Appends a record as the operator does. */
  write(topic, key, value) {
    const keyBytes = Buffer.from(key);
    this.#append(topic, [
      Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(value)]),
    ]);
  }

  /** Returns the newest value of each key of a topic, as text. */
  newest(topic) {
    const newest = new Map();
    this.#recordsOf(topic).forEach((record) => {
      newest.set(keyOf(record), record.subarray(1 + record[0]).toString('utf8'));
    });
    return newest;
  }

  #recordsOf(topic) {
    if (!this.#topics.has(topic)) {
      this.#topics.set(topic, []);
    }
    return this.#topics.get(topic);
  }

  #append(topic, records) {
    const stored = this.#recordsOf(topic);
    const offset = stored.length;
    stored.push(...records);
    [...this.#waiting].forEach((wake) => wake());
    return { offset, end: stored.length };
  }

  async #serve(request, response) {
    const body = await readBody(request);
    const { pathname, searchParams } = new URL(request.url, 'http://store');
    const topic = searchParams.get('topic') ?? '';
    if (this.isDown) {
      sendJson(response, 503, {});
    } else if (pathname === '/log-append') {
      sendJson(response, 200, this.#append(topic, splitRecords(body)));
    } else if (pathname === '/log-read') {
      await this.#read(topic, searchParams, response);
    } else if (pathname === '/log-newest') {
      this.#sendNewest(topic, response);
    } else {
      sendJson(response, 404, {});
    }
  }

  async #read(topic, searchParams, response) {
    const from = Number(searchParams.get('from'));
    const untilMs = Date.now() + Number(searchParams.get('wait-ms') ?? 0);
    while (!this.isDown && this.#recordsOf(topic).length <= from && Date.now() < untilMs) {
      await this.#waitForRecord(untilMs - Date.now());
    }
    if (this.isDown) {
      sendJson(response, 503, {});
      return;
    }
    const records = this.#recordsOf(topic);
    response.writeHead(200);
    response.end(
      Buffer.concat([
        offsetBytes(records.length),
        offsetBytes(0),
        ...records.slice(from).map(withLength),
      ]),
    );
  }

  async #waitForRecord(waitMs) {
    let wake;
    await new Promise((resolve) => {
      wake = resolve;
      this.#waiting.add(wake);
      setTimeout(wake, waitMs);
    });
    this.#waiting.delete(wake);
  }

  #sendNewest(topic, response) {
    const newestByKey = new Map();
    this.#recordsOf(topic).forEach((record, offset) => {
      const value = record.subarray(1 + record[0]).toString('base64');
      newestByKey.set(keyOf(record), { key: keyOf(record), value, offset });
    });
    sendJson(response, 200, {
      items: [...newestByKey.values()],
      'has-more': false,
      end: this.#recordsOf(topic).length,
    });
  }
}
