import { ConfigurationHolder } from 'lentillb/configuration/configurationHolder.js';
import type { MeshConfiguration, MeshRoute } from 'lentillb/configuration/meshConfiguration.js';
import { RouteTable } from 'lentillb/configuration/routeTable.js';
import { SmoothWeightedRoundRobin } from 'lentillb/configuration/smoothWeightedRoundRobin.js';
import { SeededRandomness } from 'lentillb';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

function route(pathPrefix: string, fields: Partial<MeshRoute> = {}): MeshRoute {
  return {
    name: pathPrefix,
    hostname: 'letters.example',
    pathPrefix,
    destinations: [{ service: 'reading-room', weight: 1 }],
    repetition: 'repeat',
    maxBackendServers: 2,
    timeoutMs: 500,
    targetLatencyMs: 200,
    priority: 0,
    ...fields,
  };
}

function configuration(version: number, routes: readonly MeshRoute[]): MeshConfiguration {
  const limits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  };
  return { version, routes, limits };
}

describe('route table', () => {
  const table = new RouteTable(
    configuration(1, [route('/a/'), route('/a/b/'), route('/', { hostname: 'all.example' })]),
  );

  it.each([
    ['letters.example', '/a/b/c', '/a/b/'],
    ['letters.example', '/a/b/', '/a/b/'],
    ['letters.example', '/a/bc/d', '/a/'],
    ['letters.example', '/a/b', '/a/'],
    ['LETTERS.example:8080', '/a/x?q=/a/b/', '/a/'],
    ['letters.example', 'http://letters.example/a/b/c', '/a/b/'],
    ['all.example', '/anything', '/'],
  ])('should route %s %s by %s', (host, target, prefix) => {
    expect(table.find(host, target)?.pathPrefix).toBe(prefix);
  });

  it.each([
    ['letters.example', '/'],
    ['letters.example', '/ab/'],
    ['other.example', '/a/'],
    ['', '/a/'],
  ])('should find no route for %s %s', (host, target) => {
    expect(table.find(host, target)).toBeUndefined();
  });
});

describe('configuration holder', () => {
  it('should never return to an older version', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(50)), (versions) => {
        const holder = new ConfigurationHolder();
        versions.forEach((version) => {
          const before = holder.version;
          holder.activateIfNewer(configuration(version, []));
          expect(holder.version).toBe(Math.max(before, version));
        });
      }),
      { seed: 5 },
    );
  });
});

describe('weighted rotation', () => {
  it('should stay within one request of each weight over any 200 consecutive requests', () => {
    const rotation = new SmoothWeightedRoundRobin(new SeededRandomness(11));
    const destinations = [
      { service: 'old', weight: 90 },
      { service: 'new', weight: 10 },
    ];
    const splitRoute = route('/a/', { destinations });
    const chosen = Array.from({ length: 600 }, () => rotation.next(splitRoute));
    for (let start = 0; start + 200 <= chosen.length; start += 1) {
      const newCount = chosen
        .slice(start, start + 200)
        .filter((service) => service === 'new').length;
      expect(Math.abs(newCount - 20)).toBeLessThanOrEqual(1);
    }
  });

  it('should restart when the weights change', () => {
    const rotation = new SmoothWeightedRoundRobin(new SeededRandomness(11));
    const before = route('/a/', {
      destinations: [
        { service: 'old', weight: 1 },
        { service: 'new', weight: 1 },
      ],
    });
    const after = route('/a/', { destinations: [{ service: 'new', weight: 1 }] });
    rotation.next(before);
    expect(rotation.next(after)).toBe('new');
  });
});
