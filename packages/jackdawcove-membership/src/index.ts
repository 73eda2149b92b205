export type {
  Announcement,
  AnnouncementLease,
  Withdrawal,
} from './Announcement.js';
export type {
  BackendServerRecord,
  BackendServerState,
  DaemonRecord,
  DaemonState,
  LocalDaemon,
} from './MembershipRecords.js';
export type {InstanceView} from './MembershipView.js';

export {announcementSchema, withdrawalSchema} from './Announcement.js';
export {
  backendServerRecordSchema,
  backendServerStateSchema,
  compareDaemonRecords,
  DAEMON_STATES,
  daemonRecordSchema,
  daemonStateSchema,
  isDaemonInReach,
} from './MembershipRecords.js';
export {isEarlierAnnouncement, MembershipView} from './MembershipView.js';
