import type { ConnectRouter } from '@connectrpc/connect';
import type { ProgramId } from '@zincring/core';

import { OperatorService } from '@zincring/protocol';

import type { OperatorStatusSource } from './operatorStatus.js';

import { instanceToMessage, programToMessage, updateToMessage } from './operatorConversions.js';

/**
 * Registers the operator service on a router. Operators use it, and so do peers that cannot reach
 * the store: they read the configuration from it.
 *
 * @example
 * registerOperatorService(router, statusSource);
 */
export function registerOperatorService(router: ConnectRouter, source: OperatorStatusSource): void {
  router.service(OperatorService, {
    readConfiguration: ({ after }) =>
      updateToMessage(source.readConfigurationUpdate(Number(after))),
    showProgram: ({ program }) =>
      programToMessage(
        source.describeInstance().instance,
        source.describeProgram(program as ProgramId),
      ),
    status: () => instanceToMessage(source.describeInstance()),
  });
}
