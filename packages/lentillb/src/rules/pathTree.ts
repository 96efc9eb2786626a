/** Indexes path patterns by segment, to match paths and to find patterns that cover others. */

const ONE_SEGMENT = '*';
const ALL_SEGMENTS = '**';

interface PatternNode<Value> {
  readonly children: Map<string, PatternNode<Value>>;
  /** The values whose pattern ends at this node. */
  readonly exact: Value[];
  /** The values whose pattern ends in `**` after this node. */
  readonly anySuffix: Value[];
}

function createNode<Value>(): PatternNode<Value> {
  return { children: new Map(), exact: [], anySuffix: [] };
}

function segmentsOf(path: string): readonly string[] {
  return path === '/' ? [] : path.slice(1).split('/');
}

/** Maps path patterns to values. */
export class PathTree<Value> {
  private readonly root = createNode<Value>();

  /**
   * @param pattern - a path pattern in the syntax of rules: `*` stands for one segment, a final `**`
   *   for any number of segments
   * @param value - the value to return for matching paths
   */
  add(pattern: string, value: Value): void {
    let node = this.root;
    for (const segment of segmentsOf(pattern)) {
      if (segment === ALL_SEGMENTS) {
        node.anySuffix.push(value);
        return;
      }
      const next = node.children.get(segment) ?? createNode<Value>();
      node.children.set(segment, next);
      node = next;
    }
    node.exact.push(value);
  }

  /**
   * Finds the patterns that match a path. Given a pattern instead of a path, finds the patterns that
   * match every path the given pattern matches.
   *
   * @param path - the path of a request, without its query, or a pattern
   * @returns the values of all matching patterns, in no particular order
   */
  match(path: string): Value[] {
    const segments = segmentsOf(path);
    const matches: Value[] = [];
    const visit = (node: PatternNode<Value>, index: number): void => {
      matches.push(...node.anySuffix);
      const segment = segments[index];
      if (segment === undefined) {
        matches.push(...node.exact);
        return;
      }
      if (segment === ALL_SEGMENTS) {
        return;
      }
      const literalChild = segment === ONE_SEGMENT ? undefined : node.children.get(segment);
      const wildcardChild = node.children.get(ONE_SEGMENT);
      if (literalChild !== undefined) {
        visit(literalChild, index + 1);
      }
      if (wildcardChild !== undefined) {
        visit(wildcardChild, index + 1);
      }
    };
    visit(this.root, 0);
    return matches;
  }
}
