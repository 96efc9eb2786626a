/** Encodes the inquiry what has become of requests, and its reply, as HTTP between two nodes. */
import type { IncomingHttpHeaders } from 'node:http';
import type { HeaderFields } from '../calls/callHeaders.js';
import type { DeliveryQuestion } from '../directory/delivery.js';
import { DeliveryState } from '../directory/delivery.js';

const INQUIRY_HEADER = 'lentillb-k';
const PROCESS_RADIX = 36;
const SEPARATOR = '\n';
/** Each question is the process, which may be missing, and the key. */
const QUESTION = /^([0-9a-z]*) (.+)$/s;

const codeByState: Readonly<Record<DeliveryState, string>> = {
  [DeliveryState.NotArrived]: 'a',
  [DeliveryState.NotRun]: 'n',
  [DeliveryState.InProgress]: 'p',
  [DeliveryState.Ended]: 'e',
};
const stateByCode = new Map(
  Object.values(DeliveryState).map((state) => [codeByState[state], state]),
);

/** The headers by which an inquiry is told from a request. */
export const inquiryHeaders: HeaderFields = { [INQUIRY_HEADER]: '1' };

/**
 * @param headers - the headers of a request of another node
 * @returns whether it is an inquiry
 */
export function isInquiry(headers: IncomingHttpHeaders): boolean {
  return headers[INQUIRY_HEADER] !== undefined;
}

/**
 * Encodes questions.
 *
 * @param questions - the questions
 * @returns the body of the inquiry
 */
export function encodeQuestions(questions: readonly DeliveryQuestion[]): Buffer {
  const lines = questions.map(
    ({ key, processId }) => `${processId?.toString(PROCESS_RADIX) ?? ''} ${key}`,
  );
  return Buffer.from(lines.join(SEPARATOR), 'latin1');
}

/**
 * Decodes questions.
 *
 * @param body - the body of an inquiry
 * @returns the questions, or undefined if the body is not valid
 */
export function decodeQuestions(body: Buffer): readonly DeliveryQuestion[] | undefined {
  const matches = body
    .toString('latin1')
    .split(SEPARATOR)
    .map((line) => QUESTION.exec(line));
  const questions = matches.flatMap((match) => {
    const [, process = '', key = ''] = match ?? [];
    const processId = process === '' ? undefined : Number.parseInt(process, PROCESS_RADIX);
    return match === null ? [] : [{ key, processId }];
  });
  return questions.length === matches.length ? questions : undefined;
}

/**
 * Encodes the states of requests.
 *
 * @param states - the states, in the order of the questions
 * @returns the body of the reply
 */
export function encodeStates(states: readonly DeliveryState[]): Buffer {
  return Buffer.from(states.map((state) => codeByState[state]).join(''), 'latin1');
}

/**
 * Decodes the states of requests.
 *
 * @param body - the body of a reply
 * @param count - the number of questions
 * @returns the states, or undefined if the body is not valid
 */
export function decodeStates(body: Buffer, count: number): readonly DeliveryState[] | undefined {
  const codes = [...body.toString('latin1')];
  const states = codes.flatMap((code) => stateByCode.get(code) ?? []);
  return codes.length === count && states.length === count ? states : undefined;
}
