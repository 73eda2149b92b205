export type {DaemonSettings, SectionName} from './DaemonSettings.js';
export type {ListenAddress} from './SettingsFields.js';
export type {SettingsFault} from './SettingsFaults.js';
export type {ReadText} from './SettingsSecrets.js';

export {daemonSettingsSchema} from './DaemonSettings.js';
export {loadSettings, parseSettings} from './parseSettings.js';
export {isLoopback} from './SettingsFields.js';
export {createSettingsFailure, formatSettingsFault} from './SettingsFaults.js';
