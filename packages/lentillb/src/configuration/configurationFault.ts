/** Finds what makes a configuration version unfit to be in force. A version is used whole or not at all. */
import { isFieldValue } from '../utils/messageHead.js';
import type { CallerLimits, Customer, MeshConfiguration, MeshRoute } from './meshConfiguration.js';

/** The longest delay of a timer of Node.js, in milliseconds; longer ones fire at once. */
export const MAX_TIMER_MS = 2 ** 31 - 1;

function isDuration(value: number): boolean {
  return value > 0 && value <= MAX_TIMER_MS;
}

function isPositiveInteger(value: number): boolean {
  return Number.isSafeInteger(value) && value > 0;
}

/** The requirements of a route, and what is wrong where one is not met. */
const routeRequirements: readonly {
  readonly fault: string;
  readonly isMet: (route: MeshRoute, services: ReadonlySet<string>) => boolean;
}[] = [
  { fault: 'has no host name', isMet: ({ hostname }) => hostname !== '' },
  {
    fault: 'has a path prefix that does not begin and end with a slash',
    isMet: ({ pathPrefix }) => pathPrefix.startsWith('/') && pathPrefix.endsWith('/'),
  },
  { fault: 'has no service', isMet: ({ destinations }) => destinations.length > 0 },
  {
    fault: 'has a service that the configuration does not define',
    isMet: ({ destinations }, services) =>
      destinations.every(({ service }) => services.has(service)),
  },
  {
    fault: 'has weights whose sum is not a positive number',
    isMet: ({ destinations }) => {
      const total = destinations.reduce((sum, { weight }) => sum + weight, 0);
      return destinations.every(({ weight }) => weight >= 0) && total > 0 && total < Infinity;
    },
  },
  { fault: 'has a time-out out of range', isMet: ({ timeoutMs }) => isDuration(timeoutMs) },
  {
    fault: 'has a target latency out of range',
    isMet: ({ targetLatencyMs }) => isDuration(targetLatencyMs),
  },
  {
    fault: 'has a priority that is not a whole number from 0 on',
    isMet: ({ priority }) => Number.isSafeInteger(priority) && priority >= 0,
  },
  {
    fault: 'allows no backend server',
    isMet: ({ maxBackendServers }) => isPositiveInteger(maxBackendServers),
  },
];

function findRouteFault(route: MeshRoute, services: ReadonlySet<string>): string | undefined {
  const broken = routeRequirements.find(({ isMet }) => !isMet(route, services));
  return broken === undefined ? undefined : `route "${route.name}" ${broken.fault}`;
}

function findLimitFault(limits: CallerLimits): string | undefined {
  const { headerTimeoutMs, idleTimeoutMs, maxBodyBytes, maxHeaderBytes } = limits;
  const isInRange =
    [maxBodyBytes, maxHeaderBytes].every(isPositiveInteger) &&
    [headerTimeoutMs, idleTimeoutMs].every(isDuration);
  return isInRange ? undefined : 'a limit for callers is out of range';
}

/** The requirements of a customer, and what is wrong where one is not met. */
const customerRequirements: readonly {
  readonly fault: string;
  readonly isMet: (customer: Customer) => boolean;
}[] = [
  {
    // The name is sent to backend servers in a header.
    fault: 'has a name with characters that no header may have',
    isMet: ({ name }) => name !== '' && isFieldValue(name),
  },
  { fault: 'has an empty key', isMet: ({ keys }) => keys.every((key) => key !== '') },
  {
    fault: 'has a priority that is not a whole number from 0 on',
    isMet: ({ priority }) => Number.isSafeInteger(priority) && priority >= 0,
  },
  {
    fault: 'has a rate or a burst that is not a number from 0 on',
    isMet: ({ burst, ratePerSecond }) =>
      [burst, ratePerSecond].every((value) => Number.isFinite(value) && value >= 0),
  },
];

function findCustomerFault(customers: readonly Customer[]): string | undefined {
  const ownerByKey = new Map<string, string>();
  for (const customer of customers) {
    const broken = customerRequirements.find(({ isMet }) => !isMet(customer));
    if (broken !== undefined) {
      return `customer "${customer.name}" ${broken.fault}`;
    }
    for (const key of customer.keys) {
      const owner = ownerByKey.get(key);
      if (owner !== undefined && owner !== customer.name) {
        return `customers "${owner}" and "${customer.name}" share a key`;
      }
      ownerByKey.set(key, customer.name);
    }
  }
  return undefined;
}

/**
 * Finds what makes a configuration version invalid.
 *
 * @param configuration - the version
 * @param services - the names of the services that it defines
 * @returns the first fault, with the name of the route; undefined if the version is valid
 */
export function findConfigurationFault(
  { customers, limits, routes, version }: MeshConfiguration,
  services: ReadonlySet<string>,
): string | undefined {
  if (!isPositiveInteger(version)) {
    return 'the version is not a positive number';
  }
  const limitFault = findLimitFault(limits);
  if (limitFault !== undefined) {
    return limitFault;
  }
  for (const route of routes) {
    const fault = findRouteFault(route, services);
    if (fault !== undefined) {
      return fault;
    }
  }
  return findCustomerFault(customers ?? []);
}
