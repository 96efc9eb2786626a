/** Small rule files for tests. */

/** The rules of a service with a repeatable read route and a service with a write route. */
export const PAGES_RULES = `service pages port any slots 2 connections 16 ramp 0s drain 5s # Test: reading
service orders port any slots 2 connections 16 ramp 0s drain 5s # Test: writing
route GET /pages/** to pages within 2s repeat priority normal # Test: reading may be repeated
route POST /orders to orders within 2s once priority high # Test: placed at most once
retry pages attempts 3 budget 50% # Test: reading survives
`;

/**
 * @param name - the name of the service, by which the file differs from others
 * @returns a valid rule file
 */
export function createRules(name: string): string {
  return `service ${name} port any slots 2 connections 16 ramp 0s drain 5s # Test: named ${name}\n`;
}
