export type { Faults, ScriptedOutcome } from './platform/faultSwitch.js';
export { FaultSwitch, noFaults } from './platform/faultSwitch.js';
export {
  MemoryInstanceDirectory,
  MemoryObjectStore,
  MemoryTableService,
} from './platform/memoryPlatform.js';
export { MemoryObjects } from './platform/memoryObjects.js';
export { MemoryTable } from './platform/memoryTable.js';
export type { PlatformServerOptions } from './platform/platformServer.js';
export { PlatformServer } from './platform/platformServer.js';
export type {
  EngineOptions,
  GenerateRequest,
  GenerateUsage,
  Generation,
} from './engine/engineModel.js';
export { EngineModel } from './engine/engineModel.js';
export type { CacheEvent } from './engine/prefixCache.js';
export { countTokens, prefixDigests, PrefixCache } from './engine/prefixCache.js';
export type { EngineServerOptions } from './engine/engineServer.js';
export { CRASH_MARKER, EngineServer } from './engine/engineServer.js';
export type { Execution, PlainServiceBehaviour } from './service/plainServiceServer.js';
export { PlainServiceServer } from './service/plainServiceServer.js';
export type { StandInHandler, StandInRequest } from './util/jsonServer.js';
export { readJson, sendJson, serveStandIn } from './util/jsonServer.js';
export { PortReservations } from './launch/portReservations.js';
export { RandomSource } from './util/randomSource.js';
