/** Types that all benchmarks share, and helpers for their figures. */

/** Options of one benchmark run, from the command line. */
export interface BenchmarkOptions {
  /** The number of nodes; the largest one where a benchmark runs fleets of several sizes. */
  readonly nodes: number;
  readonly zones: number;
  readonly seed: number;
}

/** An upper bound of a figure, derived from the targets of the system. */
export interface Bound {
  readonly figure: string;
  /** The largest allowed value, in the unit of the figure. */
  readonly most: number;
}

/** Figures and bounds of one benchmark run. */
export interface BenchmarkResult {
  /** The parameter that varies between measurements, such as the number of nodes or the call rate. */
  readonly sizes: readonly number[];
  readonly figures: Readonly<Record<string, number>>;
  readonly bounds: readonly Bound[];
}

/** A benchmark that the command line can run. */
export interface Benchmark {
  readonly description: string;
  /**
   * Runs the benchmark to completion.
   *
   * @param options - the options of the run
   * @param print - prints one line of the table
   * @returns the figures and their bounds
   */
  readonly run: (
    options: BenchmarkOptions,
    print: (line: string) => void,
  ) => Promise<BenchmarkResult>;
}

/**
 * Finds the bounds that a run did not keep. A missing figure counts as exceeded.
 *
 * @param result - the figures and bounds of the run
 * @returns the exceeded bounds
 */
export function findExceededBounds({ figures, bounds }: BenchmarkResult): readonly Bound[] {
  return bounds.filter(({ figure, most }) => !((figures[figure] ?? Number.NaN) <= most));
}

/** A linear regression through measured points. */
export interface LinearFit {
  /** The value of the line at size 0. */
  readonly intercept: number;
  /** The increase of the value for each unit of size. */
  readonly slope: number;
  /** The largest distance of a point from the line, as a fraction of the largest absolute value. */
  readonly residual: number;
}

/**
 * @param points - pairs of a size and the value measured at it
 * @returns the line fitted to them by least squares
 */
export function fitLine(points: readonly (readonly [number, number])[]): LinearFit {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const sumOfSquares = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0) / sumOfSquares;
  const intercept = meanY - slope * meanX;
  const largestValue = Math.max(...points.map(([, y]) => Math.abs(y)), Number.MIN_VALUE);
  const residual =
    Math.max(...points.map(([x, y]) => Math.abs(y - intercept - slope * x))) / largestValue;
  return { intercept, slope, residual };
}

/**
 * @param value - a figure
 * @returns the figure rounded to four significant digits
 */
export function round(value: number): number {
  return Number(value.toPrecision(4));
}
