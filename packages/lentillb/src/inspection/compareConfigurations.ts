/** Lists the differences between two configurations, without showing keys. */
import type { ConfigurationPlace } from '../configuration/configurationFault.js';
import type { MeshConfiguration } from '../configuration/meshConfiguration.js';
import type { Difference } from './finding.js';

/** The names of the properties of an entry, and their values. */
type Fields = Readonly<Record<string, unknown>>;

function show(value: unknown): string {
  return value === undefined ? 'not set' : JSON.stringify(value);
}

function changesOf(
  place: ConfigurationPlace,
  before: Fields,
  after: Fields,
): readonly Difference[] {
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...names]
    .filter((name) => show(before[name]) !== show(after[name]))
    .map((name) => ({
      place: [...place, name],
      change: `${show(before[name])} becomes ${show(after[name])}`,
    }));
}

/** Compares the keys of a customer. Only their numbers may be shown. */
function keyChangesOf(
  place: ConfigurationPlace,
  before: readonly string[],
  after: readonly string[],
): readonly Difference[] {
  const added = after.filter((key) => !before.includes(key)).length;
  const removed = before.filter((key) => !after.includes(key)).length;
  return added + removed === 0
    ? []
    : [{ place: [...place, 'keys'], change: `${added} added, ${removed} removed` }];
}

/** Compares the entries of a list by name. */
function compareEntries<Entry extends { readonly name: string }>(
  property: string,
  before: readonly Entry[],
  after: readonly Entry[],
  compare: (place: ConfigurationPlace, before: Entry, after: Entry) => readonly Difference[],
): readonly Difference[] {
  const beforeByName = new Map(before.map((entry) => [entry.name, entry]));
  const namesAfter = new Set(after.map(({ name }) => name));
  const removed = before.filter(({ name }) => !namesAfter.has(name));
  return [
    ...after.flatMap((entry) => {
      const place = [property, entry.name];
      const earlier = beforeByName.get(entry.name);
      return earlier === undefined ? [{ place, change: 'added' }] : compare(place, earlier, entry);
    }),
    ...removed.map(({ name }) => ({ place: [property, name], change: 'removed' })),
  ];
}

/**
 * Compares two configurations.
 *
 * @param before - the version in force
 * @param after - the version to be sent
 * @returns what changes; the version numbers are not compared
 */
export function compareConfigurations(
  before: MeshConfiguration,
  after: MeshConfiguration,
): readonly Difference[] {
  const hasCustomers = [before, after].map(({ customers }) => customers !== undefined);
  const keyUse =
    hasCustomers[0] === hasCustomers[1]
      ? []
      : [
          {
            place: ['customers'],
            change: hasCustomers[1] === true ? 'requests need keys' : 'requests need no keys',
          },
        ];
  return [
    ...compareEntries('routes', before.routes, after.routes, (place, routeBefore, routeAfter) =>
      changesOf(place, { ...routeBefore }, { ...routeAfter }),
    ),
    ...changesOf(['limits'], { ...before.limits }, { ...after.limits }),
    ...keyUse,
    ...compareEntries(
      'customers',
      before.customers ?? [],
      after.customers ?? [],
      (place, { keys: keysBefore, ...restBefore }, { keys: keysAfter, ...restAfter }) => [
        ...changesOf(place, restBefore, restAfter),
        ...keyChangesOf(place, keysBefore, keysAfter),
      ],
    ),
  ];
}
