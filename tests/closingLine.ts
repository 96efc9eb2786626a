/** Prints the one line that tells CI how many tests passed and failed. */
import type { Reporter, TestModule } from 'vitest/node';

/** Counts the results of all tests. */
export default class ClosingLine implements Reporter {
  // eslint-disable-next-line class-methods-use-this -- implements the interface
  onTestRunEnd(modules: readonly TestModule[]): void {
    const tests = modules.flatMap((module) => [...module.children.allTests()]);
    const failed = tests.filter((test) => test.result().state === 'failed').length;
    const broken = modules.filter((module) => module.errors().length > 0).length;
    const passed = tests.filter((test) => test.result().state === 'passed').length;
    process.stdout.write(`${passed} passed, ${failed + broken} failed\n`);
  }
}
