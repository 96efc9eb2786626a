/** Applies what the backend server of this host states in its answers. */
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import type { BackendServerListener } from './backendServerClient.js';
import type { LocalBackendServer } from './localBackendServer.js';
import { HeartbeatEffect } from './localBackendServer.js';
import type { ServerStatement } from './serverStatement.js';
import type { SlotQueue } from '../admission/slotQueue.js';
import type { StatedLimit } from '../admission/statedLimit.js';

/** Keeps the stated limit and the stated departure of the current run. */
export class StatementListener implements BackendServerListener {
  /** @param services - the services that statements are applied to */
  constructor(
    private readonly services: {
      readonly backendServer: LocalBackendServer;
      readonly statedLimit: StatedLimit;
      readonly slots: Pick<SlotQueue, 'dropUnservable'>;
      readonly log: DecisionLog;
    },
  ) {}

  onSent(): void {
    this.services.statedLimit.recordSent();
  }

  /** The run may have left, or been replaced, since the request was first sent. */
  mayResend(instanceId: string): boolean {
    const { backendServer, statedLimit } = this.services;
    const isCurrent = backendServer.ready && backendServer.heartbeat?.id === instanceId;
    return isCurrent && statedLimit.tryTake();
  }

  onStatement(statement: ServerStatement, instanceId: string, sentAtMs: number): void {
    const { backendServer, log, slots, statedLimit } = this.services;
    if (backendServer.heartbeat?.id !== instanceId) {
      return;
    }
    if (statedLimit.recordAnswer(statement, sentAtMs)) {
      slots.dropUnservable();
    }
    if (statement.leaving) {
      const effect = backendServer.recordStatedDeparture(instanceId);
      if (effect === HeartbeatEffect.Changed) {
        log.record(Importance.Notable, 'departure-stated', { id: instanceId });
      }
    }
  }
}
