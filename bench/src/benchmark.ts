/** What every benchmark is made of: options, figures, bounds, and one JSON object at the end. */

/** Options of one run. */
export interface BenchmarkOptions {
  /** The largest number of nodes. */
  readonly nodes: number;
  readonly zones: number;
  readonly seed: number;
}

/** A figure that has to keep a bound taken from the stated target. */
export interface Bound {
  readonly figure: string;
  readonly most: number;
}

/** What one run measured. */
export interface BenchmarkResult {
  readonly sizes: readonly number[];
  readonly figures: Readonly<Record<string, number>>;
  readonly bounds: readonly Bound[];
}

/** One benchmark. */
export interface Benchmark {
  readonly description: string;
  /**
   * Runs to its end by itself.
   *
   * @param options - the options of the run
   * @param print - writes one line of the table
   * @returns what was measured
   */
  readonly run: (
    options: BenchmarkOptions,
    print: (line: string) => void,
  ) => Promise<BenchmarkResult>;
}

/**
 * @param result - what was measured
 * @returns the bounds that were not held
 */
export function findExceededBounds({ figures, bounds }: BenchmarkResult): readonly Bound[] {
  return bounds.filter(({ figure, most }) => !((figures[figure] ?? Number.NaN) <= most));
}

/** A straight line through measured points. */
export interface LinearFit {
  readonly intercept: number;
  readonly slope: number;
  /** The largest distance of a point from the line, as a share of the largest value. */
  readonly residual: number;
}

/**
 * @param points - sizes and what was measured at them
 * @returns the line of least squares through them
 */
export function fitLine(points: readonly (readonly [number, number])[]): LinearFit {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const squaredDeviations = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope =
    points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0) / squaredDeviations;
  const intercept = meanY - slope * meanX;
  const largestValue = Math.max(...points.map(([, y]) => Math.abs(y)), Number.MIN_VALUE);
  const residual =
    Math.max(...points.map(([x, y]) => Math.abs(y - intercept - slope * x))) / largestValue;
  return { intercept, slope, residual };
}

/**
 * @param value - a figure
 * @returns it with four significant digits
 */
export function round(value: number): number {
  return Number(value.toPrecision(4));
}
