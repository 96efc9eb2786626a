/** Exports what the entry and the assembly of a node need of the quotas. */
export { Allotments, UNLIMITED } from './allotments.js';
export type { AllotmentsOptions, AllotmentsServices, DatagramTransport } from './allotments.js';
export type { Admission, Permit, Refusal } from './customerLease.js';
export { DEFAULT_QUOTA_TERMS } from './quotaTerms.js';
export type { QuotaTerms } from './quotaTerms.js';
