/** Finds what is wrong with a configuration, or has no effect, before it is sent. */
import { listConfigurationFaults } from '../configuration/configurationFault.js';
import type { ConfigurationPlace } from '../configuration/configurationFault.js';
import { MAX_HEAD_BYTES, REQUEST_TIMEOUT_MS } from '../configuration/fixedLimits.js';
import type { Customer, MeshConfiguration, MeshRoute } from '../configuration/meshConfiguration.js';
import { isFieldValue, isTargetText } from '../utils/messageHead.js';
import type { Finding } from './finding.js';
import { FindingKind } from './finding.js';

/** The characters of host names and IP addresses; a port is removed before names are compared. */
const HOSTNAME = /^(?:[a-z\d._-]+|\[[\da-f:.]+\])$/i;

function unmatched(place: ConfigurationPlace, problem: string, remedy: string): Finding {
  return { kind: FindingKind.Unmatched, place, problem, remedy };
}

function contradiction(place: ConfigurationPlace, problem: string, remedy: string): Finding {
  return { kind: FindingKind.Contradiction, place, problem, remedy };
}

/** Returns the routes that another one replaces, because both have the same host name and prefix. */
function replacedRoutes(routes: readonly MeshRoute[]): readonly Finding[] {
  const lastByMatch = new Map<string, string>();
  const matchOf = ({ hostname, pathPrefix }: MeshRoute): string =>
    `${hostname.toLowerCase()} ${pathPrefix}`;
  routes.forEach((route) => lastByMatch.set(matchOf(route), route.name));
  return routes.flatMap((route) => {
    const last = lastByMatch.get(matchOf(route));
    return last === route.name
      ? []
      : [
          unmatched(
            ['routes', route.name],
            `route "${last}" has the same host name and path prefix, and gets all requests`,
            'remove one of the two, or change its host name or path prefix',
          ),
        ];
  });
}

function unmatchableRoutes(routes: readonly MeshRoute[]): readonly Finding[] {
  return routes.flatMap(({ hostname, name, pathPrefix }) => [
    ...(hostname === '' || HOSTNAME.test(hostname)
      ? []
      : [
          unmatched(
            ['routes', name, 'hostname'],
            'no request has this host name',
            'use a host name without port, scheme or wildcard',
          ),
        ]),
    ...(isTargetText(pathPrefix) && !pathPrefix.includes('?')
      ? []
      : [
          unmatched(
            ['routes', name, 'pathPrefix'],
            'no path has these characters',
            'write it as callers send it, encoded and without a query',
          ),
        ]),
  ]);
}

function unusedServices(
  routes: readonly MeshRoute[],
  services: ReadonlySet<string>,
): readonly Finding[] {
  const used = new Set(
    routes.flatMap(({ destinations }) => destinations.map(({ service }) => service)),
  );
  return [...services]
    .filter((service) => !used.has(service))
    .map((service) =>
      unmatched(
        ['services', service],
        'no route sends requests to this service',
        'add a route, or remove the service',
      ),
    );
}

/** Returns the keys that no `Authorization` header can contain, and those that are listed twice. */
function unusableKeys({ keys, name }: Customer): readonly Finding[] {
  return keys.flatMap((key, index) => {
    const place = ['customers', name, 'keys', index];
    if (key !== '' && (!isFieldValue(key) || key !== key.trim())) {
      const remedy = 'use printable characters without spaces around them';
      return [unmatched(place, 'no header can contain this key', remedy)];
    }
    return keys.indexOf(key) === index
      ? []
      : [unmatched(place, 'the key is listed before', 'remove it')];
  });
}

function customerFindings(
  customers: readonly Customer[],
  routes: readonly MeshRoute[],
): readonly Finding[] {
  if (customers.length === 0) {
    const problem = 'there is no customer, so all requests of routes that need a key get 401';
    return [contradiction(['customers'], problem, 'add customers, or remove the empty list')];
  }
  const needsKeys = routes.some(({ anonymous }) => anonymous !== true);
  const remedy = 'make a route require keys, or remove the customers';
  return [
    ...(needsKeys
      ? []
      : [unmatched(['customers'], 'all routes are anonymous, so no key is ever checked', remedy)]),
    ...customers.flatMap((customer) => [
      ...(customer.keys.length > 0
        ? []
        : [
            unmatched(
              ['customers', customer.name, 'keys'],
              'a customer without keys can send no request',
              'add a key, or remove the customer',
            ),
          ]),
      ...unusableKeys(customer),
      ...(customer.ratePerSecond > 0 || customer.burst === 0
        ? []
        : [
            contradiction(
              ['customers', customer.name, 'burst'],
              'a burst has no effect without a rate, since a rate of 0 is no limit',
              'set a rate, or remove the burst',
            ),
          ]),
    ]),
  ];
}

function contradictingLimits({ limits, routes }: MeshConfiguration): readonly Finding[] {
  const late = routes.filter(({ targetLatencyMs, timeoutMs }) => targetLatencyMs > timeoutMs);
  return [
    ...late.map(({ name, targetLatencyMs, timeoutMs }) =>
      contradiction(
        ['routes', name, 'targetLatencyMs'],
        `the target latency of ${targetLatencyMs} ms exceeds the time-out of ${timeoutMs} ms`,
        'lower the target latency, or raise the time-out',
      ),
    ),
    ...(limits.maxHeaderBytes <= MAX_HEAD_BYTES
      ? []
      : [
          contradiction(
            ['limits', 'maxHeaderBytes'],
            `nodes refuse heads of more than ${MAX_HEAD_BYTES} bytes in any case`,
            `set ${MAX_HEAD_BYTES} or less`,
          ),
        ]),
    ...(limits.headerTimeoutMs <= REQUEST_TIMEOUT_MS
      ? []
      : [
          contradiction(
            ['limits', 'headerTimeoutMs'],
            `a whole request may take ${REQUEST_TIMEOUT_MS} ms in any case`,
            `set ${REQUEST_TIMEOUT_MS} ms or less`,
          ),
        ]),
  ];
}

/**
 * Inspects a configuration.
 *
 * @param configuration - the configuration
 * @param services - the names of the services that it defines
 * @param inForce - the version in force, if known
 * @returns what its author should change: errors first
 */
export function inspectConfiguration(
  configuration: MeshConfiguration,
  services: ReadonlySet<string>,
  inForce?: MeshConfiguration,
): readonly Finding[] {
  const { customers, routes, version } = configuration;
  const errors = listConfigurationFaults(configuration, services).map(
    ({ description, place, remedy }) => ({
      kind: FindingKind.Error,
      place,
      problem: description,
      remedy,
    }),
  );
  const isOld = inForce !== undefined && version <= inForce.version;
  const oldVersion = {
    kind: FindingKind.Error,
    place: ['version'],
    problem: `nodes ignore it, because version ${inForce?.version} is in force`,
    remedy: 'set a higher version',
  };
  return [
    ...errors,
    ...(isOld ? [oldVersion] : []),
    ...replacedRoutes(routes),
    ...unmatchableRoutes(routes),
    ...unusedServices(routes, services),
    ...(customers === undefined ? [] : customerFindings(customers, routes)),
    ...contradictingLimits(configuration),
  ];
}
