export type { InstanceParts } from './lifecycle/instance.js';
export { Instance } from './lifecycle/instance.js';
export type { Settings, SettingsError } from './lifecycle/settings.js';
export { parseSettings } from './lifecycle/settings.js';
