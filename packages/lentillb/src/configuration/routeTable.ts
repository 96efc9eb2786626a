/** Finds the route of a request by host name and longest path prefix. */
import type { MeshConfiguration, MeshRoute } from './meshConfiguration.js';

/**
 * Extracts the host name from a `Host` header.
 *
 * @param host - the value of the header
 * @returns the host name in lower case, without a port
 */
function hostnameOf(host: string): string {
  const port = host.lastIndexOf(':');
  return (port < 0 ? host : host.slice(0, port)).toLowerCase();
}

/**
 * Extracts the path from a request target.
 *
 * @param target - the target of a request, in origin or absolute form
 * @returns its path, without the query
 */
function pathOf(target: string): string {
  const scheme = target.startsWith('/') ? -1 : target.indexOf('://');
  const path = scheme < 0 ? target : target.slice(target.indexOf('/', scheme + 3));
  const query = path.indexOf('?');
  return query < 0 ? path : path.slice(0, query);
}

/** Indexes the routes of a configuration version by host name and path prefix. */
export class RouteTable {
  private readonly byHost = new Map<string, Map<string, MeshRoute>>();

  /** @param configuration - the version to index */
  constructor(readonly configuration: MeshConfiguration) {
    configuration.routes.forEach((route) => {
      const hostname = route.hostname.toLowerCase();
      const prefixes = this.byHost.get(hostname) ?? new Map<string, MeshRoute>();
      prefixes.set(route.pathPrefix, route);
      this.byHost.set(hostname, prefixes);
    });
  }

  /**
   * Finds the route of a request.
   *
   * @param host - the value of the `Host` header
   * @param target - the target of the request
   * @returns the route with the longest path prefix that matches; undefined if none matches
   */
  find(host: string, target: string): MeshRoute | undefined {
    const prefixes = this.byHost.get(hostnameOf(host));
    if (prefixes === undefined) {
      return undefined;
    }
    const path = pathOf(target);
    let end = path.lastIndexOf('/');
    while (end >= 0) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route !== undefined) {
        return route;
      }
      end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
    }
    return undefined;
  }
}
