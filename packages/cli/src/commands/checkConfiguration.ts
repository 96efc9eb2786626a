/** `lentillb check-configuration`: checks a configuration in the format of a platform before it is sent. */
import { readFile } from 'node:fs/promises';
import { Option } from 'commander';
import type { ConfigurationFormat, Difference, Finding, MeshConfiguration } from 'lentillb';
import { compareConfigurations, inspectConfiguration } from 'lentillb';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { z } from 'zod';
import { defineCommand } from '../command.js';
import { loadConfigurationFormat } from '../configurationFormats.js';
import type { Console } from '../console.js';
import { ExitCode } from '../exitCode.js';

type Place = Finding['place'];
type ReadResult = ReturnType<ConfigurationFormat['read']>;

/** What the check found, with places of the file. */
interface CheckReport {
  readonly findings: readonly Finding[];
  /** The differences from the version in force; undefined if they cannot be told. */
  readonly differences: readonly Difference[] | undefined;
}

const PLAIN_NAME = /^[\w-]+$/;

/** Writes a place as in JavaScript, such as `routes.pages.timeout` or `customers["a b"]`. */
function formatPlace(place: Place): string {
  const steps = place.map((step) =>
    typeof step === 'string' && PLAIN_NAME.test(step) ? `.${step}` : `[${JSON.stringify(step)}]`,
  );
  return steps.join('').replace(/^\./, '') || 'the whole file';
}

async function readDocument(format: ConfigurationFormat, file: string): Promise<ReadResult> {
  try {
    return format.read(await readFile(file)).mapErr((reason) => `read ${file}: ${reason}`);
  } catch (error) {
    return Err(`read ${file}: ${(error as Error).message}; check the path`);
  }
}

async function readInForce(
  format: ConfigurationFormat,
  file: string,
): Promise<Result<MeshConfiguration, string>> {
  const read = await readDocument(format, file);
  return read.andThen(({ configuration }) =>
    configuration === undefined
      ? Err(`read ${file}: its fields are not those of a configuration; check the file`)
      : Ok(configuration),
  );
}

async function inspectFiles(
  format: ConfigurationFormat,
  file: string,
  inForceFile: string | undefined,
): Promise<Result<CheckReport, string>> {
  const checked = await readDocument(format, file);
  const inForce =
    inForceFile === undefined ? Ok(undefined) : await readInForce(format, inForceFile);
  if (inForce.isErr()) {
    return inForce;
  }
  const current = inForce.value;
  return checked.map(({ configuration, findings, services }) => {
    if (configuration === undefined) {
      return { findings, differences: undefined };
    }
    const found = inspectConfiguration(configuration, services, current).map((finding) => ({
      ...finding,
      place: format.locate(finding.place),
    }));
    const differences =
      current === undefined ? undefined : compareConfigurations(current, configuration);
    return {
      findings: [...found, ...findings],
      differences: differences?.map(({ change, place }) => ({
        place: format.locate(place),
        change,
      })),
    };
  });
}

function printJson(file: string, { differences, findings }: CheckReport, console: Console): void {
  const withLocation = <Entry extends { readonly place: Place }>({ place, ...rest }: Entry) => ({
    location: formatPlace(place),
    ...rest,
  });
  console.print(
    JSON.stringify({
      file,
      findings: findings.map(withLocation),
      differences: differences?.map(withLocation),
    }),
  );
}

function printText(file: string, { differences, findings }: CheckReport, console: Console): void {
  findings.forEach(({ kind, place, problem, remedy }) =>
    console.print(`${file}: ${formatPlace(place)}: ${kind}: ${problem}; ${remedy}`),
  );
  differences?.forEach(({ change, place }) =>
    console.print(`${file}: ${formatPlace(place)}: differs: ${change}`),
  );
}

export const checkConfiguration = defineCommand({
  usage: 'check-configuration <file>',
  description: 'check a configuration in the format of a platform before it is sent',
  options: [
    new Option('--format <module>', 'module that reads the format of the platform').env(
      'LENTILLB_FORMAT',
    ),
    new Option('--in-force <file>', 'the version in force, to show the differences'),
    new Option('--json', 'print one JSON object'),
  ],
  schema: z.object({
    format: z.string({ error: 'expected the name of a module' }).min(1),
    inForce: z.string().optional(),
    json: z.boolean().default(false),
  }),
  examples: [
    'lentillb check-configuration --format @acme/lentillb-adapter next.json',
    'lentillb check-configuration next.json --in-force current.json --json',
  ],
  run: async ([file = ''], { format: moduleName, inForce, json }, console) => {
    const format = await loadConfigurationFormat(moduleName);
    const report = format.isErr() ? format : await inspectFiles(format.value, file, inForce);
    if (report.isErr()) {
      console.note(report.error);
      return ExitCode.Usage;
    }
    (json ? printJson : printText)(file, report.value, console);
    return report.value.findings.length === 0 ? ExitCode.Ok : ExitCode.Refused;
  },
});
