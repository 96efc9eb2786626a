/** Path patterns in a tree of segments, for matching paths and for finding covered patterns. */

const ONE_SEGMENT = '*';
const ALL_SEGMENTS = '**';

interface Branch<Value> {
  readonly children: Map<string, Branch<Value>>;
  /** Values whose pattern ends here. */
  readonly exact: Value[];
  /** Values whose pattern ends here with `**`. */
  readonly rest: Value[];
}

function newBranch<Value>(): Branch<Value> {
  return { children: new Map(), exact: [], rest: [] };
}

function segmentsOf(path: string): readonly string[] {
  return path === '/' ? [] : path.slice(1).split('/');
}

/** Path patterns with a value each. */
export class PathTree<Value> {
  private readonly root = newBranch<Value>();

  /**
   * @param pattern - a path pattern, as rules write it
   * @param value - what to find by it
   */
  add(pattern: string, value: Value): void {
    let branch = this.root;
    for (const segment of segmentsOf(pattern)) {
      if (segment === ALL_SEGMENTS) {
        branch.rest.push(value);
        return;
      }
      const next = branch.children.get(segment) ?? newBranch<Value>();
      branch.children.set(segment, next);
      branch = next;
    }
    branch.exact.push(value);
  }

  /**
   * Finds what matches a path. Given a pattern in place of a path, finds the patterns that match
   * every path it does.
   *
   * @param path - the path of a request, without its query, or a pattern
   * @returns the values of all patterns that match, in no particular order
   */
  match(path: string): Value[] {
    const segments = segmentsOf(path);
    const found: Value[] = [];
    const visit = (branch: Branch<Value>, index: number): void => {
      found.push(...branch.rest);
      const segment = segments[index];
      if (segment === undefined) {
        found.push(...branch.exact);
        return;
      }
      if (segment === ALL_SEGMENTS) {
        return;
      }
      const literal = segment === ONE_SEGMENT ? undefined : branch.children.get(segment);
      const wildcard = branch.children.get(ONE_SEGMENT);
      if (literal !== undefined) {
        visit(literal, index + 1);
      }
      if (wildcard !== undefined) {
        visit(wildcard, index + 1);
      }
    };
    visit(this.root, 0);
    return found;
  }
}
