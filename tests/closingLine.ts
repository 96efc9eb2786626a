/** A reporter that prints the line from which CI reads how many tests passed and failed. */
import type { Reporter, TestModule } from 'vitest/node';

/** Prints "N passed, N failed" after all tests; a module with an error counts as a failed test. */
export default class ClosingLineReporter implements Reporter {
  // eslint-disable-next-line class-methods-use-this -- implements the interface
  onTestRunEnd(modules: readonly TestModule[]): void {
    const tests = modules.flatMap((module) => [...module.children.allTests()]);
    const failed = tests.filter((test) => test.result().state === 'failed').length;
    const modulesWithErrors = modules.filter((module) => module.errors().length > 0).length;
    const passed = tests.filter((test) => test.result().state === 'passed').length;
    process.stdout.write(`${passed} passed, ${failed + modulesWithErrors} failed\n`);
  }
}
