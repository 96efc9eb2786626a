/** Loads the format in which the operators of a platform write configurations. */
import { createRequire } from 'node:module';
import path from 'node:path';
import { pathToFileURL } from 'node:url';
import type { ConfigurationFormat } from 'lentillb';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';

/** The name under which a module exports its format. */
const EXPORT_NAME = 'configurationFormat';

function isFormat(value: unknown): value is ConfigurationFormat {
  return typeof value === 'object' && value !== null && 'read' in value && 'locate' in value;
}

/**
 * Loads a format from a module of the platform's adapter. The command line doesn't name the module, since
 * only the adapter knows the platform.
 *
 * @param moduleName - the name of a package, or the path of a file that begins with a dot or a slash;
 *   found as from a module in the working directory
 * @returns the format, or why there is none
 */
export async function loadConfigurationFormat(
  moduleName: string,
): Promise<Result<ConfigurationFormat, string>> {
  try {
    const { resolve } = createRequire(path.join(process.cwd(), 'lentillb.js'));
    const loaded = (await import(pathToFileURL(resolve(moduleName)).href)) as object;
    const format: unknown = Reflect.get(loaded, EXPORT_NAME);
    return isFormat(format)
      ? Ok(format)
      : Err(`the module ${moduleName} does not export ${EXPORT_NAME}`);
  } catch (error) {
    return Err(`load the format ${moduleName}: ${(error as Error).message}`);
  }
}
