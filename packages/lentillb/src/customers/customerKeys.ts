/** Finds customers by their keys. */
import type { Customer } from '../configuration/meshConfiguration.js';

/**
 * The keys of one configuration version. A lookup takes constant time in the number of keys. No two
 * customers have the same key, since a version in which they do is not put in force.
 */
export class CustomerKeys {
  private readonly ownerByKey: ReadonlyMap<string, Customer>;

  /** @param customers - the customers of the version */
  constructor(readonly customers: readonly Customer[]) {
    this.ownerByKey = new Map(
      customers.flatMap((customer) => customer.keys.map((key) => [key, customer] as const)),
    );
  }

  /**
   * Finds the owner of a key.
   *
   * @param key - the key
   * @returns the customer; undefined if the version does not contain the key
   */
  ownerOf(key: string): Customer | undefined {
    return this.ownerByKey.get(key);
  }
}
