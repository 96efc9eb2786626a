/** Defines how the check of configurations reads the format of a platform. */
import type { Result } from 'ts-results-es';
import type { ConfigurationPlace } from '../configuration/configurationFault.js';
import type { MeshConfiguration } from '../configuration/meshConfiguration.js';
import type { Finding } from './finding.js';

/** What a document in the format of a platform contains. */
export interface ConfigurationDocument {
  /** The configuration; undefined if its fields do not have the form that the format requires. */
  readonly configuration: MeshConfiguration | undefined;
  /** The names of the services that it defines. */
  readonly services: ReadonlySet<string>;
  /** What the format itself finds, such as fields of another type, at places of the document. */
  readonly findings: readonly Finding[];
}

/** The format in which the operators of a platform write configurations. */
export interface ConfigurationFormat {
  /**
   * Reads a document.
   *
   * @param bytes - the content of the document
   * @returns what it contains, or why it cannot be read at all
   */
  read(bytes: Uint8Array): Result<ConfigurationDocument, string>;
  /**
   * Translates a place of a configuration to that of the document that it was read from.
   *
   * @param place - the place in the configuration
   * @returns the place in the document
   */
  locate(place: ConfigurationPlace): ConfigurationPlace;
}
