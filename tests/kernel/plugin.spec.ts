import type { Plugin } from 'lentillb/kernel/plugin.js';
import { PluginRegistry } from 'lentillb/kernel/plugin.js';
import { describe, expect, it } from 'vitest';

function registryOf(needs: Readonly<Record<string, readonly string[]>>): PluginRegistry {
  const registry = new PluginRegistry();
  Object.entries(needs).forEach(([name, needed]) => {
    const plugin: Plugin = { name, needs: needed, services: {} };
    registry.register(plugin);
  });
  return registry;
}

describe('plug-in registry', () => {
  it('should start each plug-in after those it needs, in the same order every time', () => {
    const registry = registryOf({ c: ['a', 'b'], b: ['a'], a: [], d: [] });
    expect(registry.inStartOrder().map(({ name }) => name)).toEqual(['a', 'b', 'c', 'd']);
  });

  it.each([
    ['is missing', { a: ['b'] }, 'plug-in "a" needs "b", which is not registered'],
    ['needs it back', { a: ['b'], b: ['a'] }, 'plug-ins "a" and "b" need each other'],
  ])('should refuse to start where a needed plug-in %s', (_, needs, message) => {
    expect(() => registryOf(needs).inStartOrder()).toThrow(message);
  });

  it('should refuse two plug-ins of one name', () => {
    const registry = registryOf({ a: [] });
    expect(() => registry.register({ name: 'a', needs: [], services: {} })).toThrow('twice');
  });
});
