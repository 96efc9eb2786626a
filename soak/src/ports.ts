/** The ports of a host; all hosts use the same ports, each on its own IP address. */
export const Port = {
  Inbound: 17_601,
  Outbound: 17_602,
  Ready: 17_603,
  Control: 17_604,
  Peer: 17_605,
  ToBackendServer: 17_606,
  ToStore: 17_607,
  ToNode: 17_608,
  /** Where the gate listens if a relay listens at the inbound port. */
  BehindRelay: 17_609,
} as const;
