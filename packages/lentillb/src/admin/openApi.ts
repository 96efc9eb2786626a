/** Describes the administration API in an OpenAPI document. */
import { z } from 'zod';
import type { OperationName } from './adminSchemas.js';
import {
  responseSchemas,
  diffSchema,
  errorSchema,
  explainSchema,
  publicationSchema,
  timelineSchema,
} from './adminSchemas.js';

/** One operation of the API. */
export interface Operation {
  readonly method: 'get' | 'post';
  readonly path: string;
  readonly summary: string;
  /** The status codes whose body follows the response schema of the operation. */
  readonly successStatuses: readonly number[];
  /** The status codes whose body follows the error schema. */
  readonly errorStatuses: readonly number[];
  readonly body?: z.ZodType;
  readonly query?: z.ZodObject;
}

/** The operations of the API by name. */
export const operations: Readonly<Record<OperationName, Operation>> = {
  health: {
    method: 'get',
    path: '/v1/health',
    summary: 'whether the node holds a configuration and understands the log; needs no token',
    successStatuses: [200, 503],
    errorStatuses: [],
  },
  status: {
    method: 'get',
    path: '/v1/status',
    summary: 'the state of the node',
    successStatuses: [200],
    errorStatuses: [401],
  },
  configuration: {
    method: 'get',
    path: '/v1/configuration',
    summary: 'the version in force, its text, and the author and version of each line',
    successStatuses: [200],
    errorStatuses: [401, 503],
  },
  history: {
    method: 'get',
    path: '/v1/history',
    summary: 'the latest publications and their verdicts, oldest first',
    successStatuses: [200],
    errorStatuses: [401, 503],
  },
  convergence: {
    method: 'get',
    path: '/v1/convergence',
    summary: 'the lowest version in force in each zone',
    successStatuses: [200],
    errorStatuses: [401],
  },
  members: {
    method: 'get',
    path: '/v1/members',
    summary: 'the hosts of the fleet',
    successStatuses: [200],
    errorStatuses: [401],
  },
  backendServers: {
    method: 'get',
    path: '/v1/backend-servers',
    summary: 'the backend servers that are ready, by declared service',
    successStatuses: [200],
    errorStatuses: [401],
  },
  explain: {
    method: 'get',
    path: '/v1/explain',
    summary: 'the rules that apply to a request, and the services that can receive it',
    successStatuses: [200],
    errorStatuses: [400, 401, 503],
    query: explainSchema,
  },
  timeline: {
    method: 'get',
    path: '/v1/timeline',
    summary: 'events of the node, oldest first',
    successStatuses: [200],
    errorStatuses: [400, 401],
    query: timelineSchema,
  },
  publish: {
    method: 'post',
    path: '/v1/publish',
    summary: 'publish a rule file: 200 accepted, 409 refused, 202 outcome not known yet',
    successStatuses: [200, 202, 409],
    errorStatuses: [400, 401, 403],
    body: publicationSchema,
  },
  diff: {
    method: 'post',
    path: '/v1/diff',
    summary: 'compare a rule file with the rules in force',
    successStatuses: [200],
    errorStatuses: [400, 401, 503],
    body: diffSchema,
  },
};

const API_VERSION = '1.0.0';

function content(schema: z.ZodType, io: 'input' | 'output'): object {
  return { 'application/json': { schema: z.toJSONSchema(schema, { io }) } };
}

function describeOperation(name: OperationName, operation: Operation): object {
  const { summary, successStatuses, errorStatuses, body, query } = operation;
  const success = { description: summary, content: content(responseSchemas[name], 'output') };
  const failure = { description: 'nothing was done', content: content(errorSchema, 'output') };
  const parameters = Object.entries(query?.shape ?? {}).map(([field, schema]) => ({
    name: field,
    in: 'query',
    required: !schema.safeParse(undefined).success,
    schema: z.toJSONSchema(schema as z.ZodType, { io: 'input' }),
  }));
  return {
    operationId: name,
    summary,
    parameters,
    requestBody: body && { required: true, content: content(body, 'input') },
    responses: Object.fromEntries([
      ...successStatuses.map((status) => [status, success]),
      ...errorStatuses.map((status) => [status, failure]),
    ]),
  };
}

/** @returns the OpenAPI document of the administration API */
export function openApiDocument(): object {
  const paths = Object.entries(operations).map(([name, operation]) => [
    operation.path,
    { [operation.method]: describeOperation(name as OperationName, operation) },
  ]);
  return {
    openapi: '3.1.0',
    info: { title: 'lentillb administration API', version: API_VERSION },
    components: { securitySchemes: { token: { type: 'http', scheme: 'bearer' } } },
    security: [{ token: [] }],
    paths: Object.fromEntries(paths),
  };
}
