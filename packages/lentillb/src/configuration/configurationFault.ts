/** Finds what makes a configuration version unfit to be in force. A version is used whole or not at all. */
import { isFieldValue } from '../utils/messageHead.js';
import type { CallerLimits, Customer, MeshConfiguration, MeshRoute } from './meshConfiguration.js';

/** The longest delay of a timer of Node.js, in milliseconds; longer ones fire at once. */
export const MAX_TIMER_MS = 2 ** 31 - 1;

/** The way to a part of a configuration: properties, names of entries, and positions in lists. */
export type ConfigurationPlace = readonly (string | number)[];

/** What makes a version invalid. */
export interface ConfigurationFault {
  readonly place: ConfigurationPlace;
  /** The fault, with the name of the entry that has it. */
  readonly description: string;
  readonly remedy: string;
}

function isDuration(value: number): boolean {
  return value > 0 && value <= MAX_TIMER_MS;
}

function isPositiveInteger(value: number): boolean {
  return Number.isSafeInteger(value) && value > 0;
}

/** What an entry of the configuration must meet, and what is wrong where it does not. */
interface Requirement<Entry> {
  readonly property: keyof Entry & string;
  readonly fault: string;
  readonly remedy: string;
  readonly isMet: (entry: Entry, services: ReadonlySet<string>) => boolean;
}

const DURATION_REMEDY = 'set a duration of more than 0 and less than 25 days';
const PRIORITY_REMEDY = 'set a whole number; 0 is the most urgent';

const routeRequirements: readonly Requirement<MeshRoute>[] = [
  {
    property: 'hostname',
    fault: 'has no host name',
    remedy: 'set the host name that callers send',
    isMet: ({ hostname }) => hostname !== '',
  },
  {
    property: 'pathPrefix',
    fault: 'has a path prefix that does not begin and end with a slash',
    remedy: 'begin and end it with a slash',
    isMet: ({ pathPrefix }) => pathPrefix.startsWith('/') && pathPrefix.endsWith('/'),
  },
  {
    property: 'destinations',
    fault: 'has no service',
    remedy: 'name one service, or several with weights',
    isMet: ({ destinations }) => destinations.length > 0,
  },
  {
    property: 'destinations',
    fault: 'has a service that the configuration does not define',
    remedy: 'define the service, or correct its name',
    isMet: ({ destinations }, services) =>
      destinations.every(({ service }) => services.has(service)),
  },
  {
    property: 'destinations',
    fault: 'has weights whose sum is not a positive number',
    remedy: 'give at least one service a weight of more than 0, and none a negative one',
    isMet: ({ destinations }) => {
      const total = destinations.reduce((sum, { weight }) => sum + weight, 0);
      return destinations.every(({ weight }) => weight >= 0) && total > 0 && total < Infinity;
    },
  },
  {
    property: 'timeoutMs',
    fault: 'has a time-out out of range',
    remedy: DURATION_REMEDY,
    isMet: ({ timeoutMs }) => isDuration(timeoutMs),
  },
  {
    property: 'targetLatencyMs',
    fault: 'has a target latency out of range',
    remedy: DURATION_REMEDY,
    isMet: ({ targetLatencyMs }) => isDuration(targetLatencyMs),
  },
  {
    property: 'priority',
    fault: 'has a priority that is not a whole number from 0 on',
    remedy: PRIORITY_REMEDY,
    isMet: ({ priority }) => Number.isSafeInteger(priority) && priority >= 0,
  },
  {
    property: 'maxBackendServers',
    fault: 'allows no backend server',
    remedy: 'set 1 or more',
    isMet: ({ maxBackendServers }) => isPositiveInteger(maxBackendServers),
  },
];

function limitFaults(limits: CallerLimits): readonly ConfigurationFault[] {
  const faultOf = (property: string, remedy: string): ConfigurationFault => ({
    place: ['limits', property],
    description: 'a limit for callers is out of range',
    remedy,
  });
  const sizes = (['maxHeaderBytes', 'maxBodyBytes'] as const)
    .filter((property) => !isPositiveInteger(limits[property]))
    .map((property) => faultOf(property, 'set a whole number of bytes of more than 0'));
  const times = (['headerTimeoutMs', 'idleTimeoutMs'] as const)
    .filter((property) => !isDuration(limits[property]))
    .map((property) => faultOf(property, DURATION_REMEDY));
  return [...sizes, ...times];
}

const RATE_FAULT = 'has a rate or a burst that is not a number from 0 on';
const RATE_REMEDY = 'set a number of 0 or more';

function isRate(value: number): boolean {
  return Number.isFinite(value) && value >= 0;
}

const customerRequirements: readonly Requirement<Customer>[] = [
  {
    // The name is sent to backend servers in a header.
    property: 'name',
    fault: 'has a name with characters that no header may have',
    remedy: 'use letters, digits and hyphens',
    isMet: ({ name }) => name !== '' && isFieldValue(name),
  },
  {
    property: 'keys',
    fault: 'has an empty key',
    remedy: 'remove the empty key',
    isMet: ({ keys }) => keys.every((key) => key !== ''),
  },
  {
    property: 'priority',
    fault: 'has a priority that is not a whole number from 0 on',
    remedy: PRIORITY_REMEDY,
    isMet: ({ priority }) => Number.isSafeInteger(priority) && priority >= 0,
  },
  {
    property: 'ratePerSecond',
    fault: RATE_FAULT,
    remedy: RATE_REMEDY,
    isMet: ({ ratePerSecond }) => isRate(ratePerSecond),
  },
  {
    property: 'burst',
    fault: RATE_FAULT,
    remedy: RATE_REMEDY,
    isMet: ({ burst }) => isRate(burst),
  },
];

/** Returns the faults of routes or customers. */
function entryFaults<Entry extends { readonly name: string }>(
  list: { readonly property: string; readonly noun: string },
  entries: readonly Entry[],
  requirements: readonly Requirement<Entry>[],
  services: ReadonlySet<string>,
): readonly ConfigurationFault[] {
  return entries.flatMap((entry) =>
    requirements
      .filter(({ isMet }) => !isMet(entry, services))
      .map(({ fault, property, remedy }) => ({
        place: [list.property, entry.name, ...(property === 'name' ? [] : [property])],
        description: `${list.noun} "${entry.name}" ${fault}`,
        remedy,
      })),
  );
}

/** Returns the faults of keys that two customers have. The keys themselves must not be shown. */
function sharedKeyFaults(customers: readonly Customer[]): readonly ConfigurationFault[] {
  const ownerByKey = new Map<string, string>();
  return customers.flatMap(({ keys, name }) =>
    keys.flatMap((key, index) => {
      const owner = ownerByKey.get(key);
      ownerByKey.set(key, owner ?? name);
      return owner === undefined || owner === name
        ? []
        : [
            {
              place: ['customers', name, 'keys', index],
              description: `customers "${owner}" and "${name}" share a key`,
              remedy: 'give each customer keys of its own',
            },
          ];
    }),
  );
}

/**
 * Lists what makes a configuration version invalid.
 *
 * @param configuration - the version
 * @param services - the names of the services that it defines
 * @returns all faults; none if the version is valid
 */
export function listConfigurationFaults(
  { customers = [], limits, routes, version }: MeshConfiguration,
  services: ReadonlySet<string>,
): readonly ConfigurationFault[] {
  const versionFault = {
    place: ['version'],
    description: 'the version is not a positive number',
    remedy: 'set a number above that of the version in force',
  };
  const routeList = { property: 'routes', noun: 'route' };
  const customerList = { property: 'customers', noun: 'customer' };
  return [
    ...(isPositiveInteger(version) ? [] : [versionFault]),
    ...limitFaults(limits),
    ...entryFaults(routeList, routes, routeRequirements, services),
    ...entryFaults(customerList, customers, customerRequirements, services),
    ...sharedKeyFaults(customers),
  ];
}

/**
 * Finds what makes a configuration version invalid.
 *
 * @param configuration - the version
 * @param services - the names of the services that it defines
 * @returns the first fault, with the name of the route; undefined if the version is valid
 */
export function findConfigurationFault(
  configuration: MeshConfiguration,
  services: ReadonlySet<string>,
): string | undefined {
  return listConfigurationFaults(configuration, services)[0]?.description;
}
