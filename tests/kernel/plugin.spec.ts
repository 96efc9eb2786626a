import type { Plugin } from 'lentillb/kernel/plugin.js';
import { PluginRegistry } from 'lentillb/kernel/plugin.js';
import { describe, expect, it } from 'vitest';

function createRegistry(needs: Readonly<Record<string, readonly string[]>>): PluginRegistry {
  const registry = new PluginRegistry();
  Object.entries(needs).forEach(([name, dependencies]) => {
    const plugin: Plugin = { name, needs: dependencies, services: {} };
    registry.register(plugin);
  });
  return registry;
}

describe('plug-in registry', () => {
  it('should order plug-ins after those they need, in a deterministic order', () => {
    const registry = createRegistry({ c: ['a', 'b'], b: ['a'], a: [], d: [] });
    expect(registry.inStartOrder().map(({ name }) => name)).toEqual(['a', 'b', 'c', 'd']);
  });

  it.each([
    ['is missing', { a: ['b'] }, 'plug-in "a" needs "b", which is not registered'],
    ['needs the first one', { a: ['b'], b: ['a'] }, 'plug-ins "a" and "b" need each other'],
  ])('should throw if a needed plug-in %s', (_, needs, message) => {
    expect(() => createRegistry(needs).inStartOrder()).toThrow(message);
  });

  it('should throw if two plug-ins have the same name', () => {
    const registry = createRegistry({ a: [] });
    expect(() => registry.register({ name: 'a', needs: [], services: {} })).toThrow('twice');
  });
});
