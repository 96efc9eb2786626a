/** Decides by the keys of customers which requests may run, and on whose behalf. */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { HeaderFields } from '../calls/callHeaders.js';
import type { ConfigurationHolder } from '../configuration/configurationHolder.js';
import type { ConfigurationStatus } from '../configuration/configurationStatus.js';
import type { Customer, MeshRoute } from '../configuration/meshConfiguration.js';
import type { MetricsRegistry } from '../observability/metricsRegistry.js';
import type { PresentedHeaders } from './bearerKey.js';
import { KeyFault, readBearerKey } from './bearerKey.js';
import { CustomerKeys } from './customerKeys.js';

/** The reasons why a request is not allowed to run, as they appear in logs and metrics. */
export const DenialCause = {
  ...KeyFault,
  /** The version in force does not contain the key. */
  Unknown: 'unknown-key',
} as const;
export type DenialCause = (typeof DenialCause)[keyof typeof DenialCause];

/** Why a request is not allowed to run. */
export interface KeyDenial {
  readonly cause: DenialCause;
  /**
   * Whether the caller must not repeat the request. False if a version that this node has heard of
   * and does not have yet may allow it.
   */
  readonly isFinal: boolean;
}

/** Whom a request belongs to, by the configuration version that was in force when it arrived. */
export interface RequestOwner {
  /** The customer; undefined on anonymous routes and where the version has no customers. */
  readonly customer: Customer | undefined;
  /** Whether the version defines customers, so that callers must not name one themselves. */
  readonly hasCustomers: boolean;
}

/** The services that the check depends on. */
export interface KeyCheckServices {
  readonly configuration: Pick<ConfigurationHolder, 'current'>;
  readonly status: Pick<ConfigurationStatus, 'newerVersion'>;
  readonly metrics: Pick<MetricsRegistry, 'count'>;
}

const withoutCustomers: RequestOwner = { customer: undefined, hasCustomers: false };
const anonymousOwner: RequestOwner = { customer: undefined, hasCustomers: true };

/** Checks requests by the keys of the version in force. */
export class KeyCheck {
  private keys: CustomerKeys | undefined;

  /**
   * @param services - the services that the check depends on
   * @param customerHeader - the name of the header with the customer's name, in lower case
   */
  constructor(
    private readonly services: KeyCheckServices,
    private readonly customerHeader: string,
  ) {}

  /**
   * Identifies the customer that a request belongs to.
   *
   * @param request - the headers of the request
   * @param route - the route that it matches in the version in force
   * @returns the owner of the request, or why it is not allowed to run
   */
  identify(
    request: PresentedHeaders,
    { anonymous }: Pick<MeshRoute, 'anonymous'>,
  ): Result<RequestOwner, KeyDenial> {
    const customers = this.services.configuration.current?.configuration.customers;
    if (customers === undefined) {
      return Ok(withoutCustomers);
    }
    if (anonymous === true) {
      return Ok(anonymousOwner);
    }
    const presented = readBearerKey(request);
    if (presented.isErr()) {
      return Err(this.denial(presented.error));
    }
    const customer = this.keysOf(customers).ownerOf(presented.value);
    if (customer === undefined) {
      return Err(this.denial(DenialCause.Unknown));
    }
    this.services.metrics.count('customer_requests', { customer: customer.name });
    return Ok({ customer, hasCustomers: true });
  }

  /**
   * Returns the headers by which a backend server learns the customer of a request. It never gets the
   * key.
   *
   * @param headers - the other headers to forward
   * @param owner - the owner of the request
   * @returns the headers to forward; the given ones if the configuration has no customers
   */
  ownedHeaders(headers: HeaderFields, { customer, hasCustomers }: RequestOwner): HeaderFields {
    if (!hasCustomers) {
      return headers;
    }
    const { authorization, [this.customerHeader]: claimedName, ...others } = headers;
    return customer === undefined ? others : { ...others, [this.customerHeader]: customer.name };
  }

  private denial(cause: DenialCause): KeyDenial {
    // No version contains a malformed key.
    const isFinal =
      cause === DenialCause.Malformed || this.services.status.newerVersion === undefined;
    return { cause, isFinal };
  }

  /** Returns the index of the keys, which is built again when another version comes into force. */
  private keysOf(customers: readonly Customer[]): CustomerKeys {
    if (this.keys?.customers !== customers) {
      this.keys = new CustomerKeys(customers);
    }
    return this.keys;
  }
}
