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

export type {
  MembershipEffect,
  MembershipOptions,
  MembershipSource,
} from './Membership.js';
export type {
  MembershipDatagram,
  MembershipMessage,
  MembershipSessionMessage,
} from './MembershipMessages.js';

export {announcementSchema, withdrawalSchema} from './Announcement.js';
export {
  backendServerRecordSchema,
  backendServerStateSchema,
  compareDaemonRecords,
  DAEMON_STATES,
  daemonRecordSchema,
  daemonStateSchema,
  isDaemonReachable,
} from './MembershipRecords.js';
export {isEarlierAnnouncement, MembershipView} from './MembershipView.js';
export {Membership} from './Membership.js';
export {
  ANNOUNCEMENT_LEASE_MS,
  TICK_INTERVAL_MS,
} from './MembershipConstants.js';
export {
  isMembershipMessage,
  readMembershipMessage,
} from './MembershipChecks.js';
export {membershipMessageSchema} from './MembershipMessages.js';
export {AnnouncementLeases} from './AnnouncementLeases.js';
export {findAnnouncementFault} from './findAnnouncementFault.js';
