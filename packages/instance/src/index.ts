export type { InstanceDependencies } from './lifecycle/instance.js';
export { Instance } from './lifecycle/instance.js';
export type { Settings } from './lifecycle/settings.js';
export type { SettingsError } from './lifecycle/settingsErrors.js';
export { describeSettings, parseSettings } from './lifecycle/settings.js';
export { KeyWatch } from './configuration/keyWatch.js';
export { registerOperatorService } from './operators/operatorService.js';
export type { OperatorStatusSource } from './operators/operatorStatus.js';
