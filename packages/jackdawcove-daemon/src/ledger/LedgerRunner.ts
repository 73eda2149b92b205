/** Applies the effects of the ledger client and the ledger member. */

import type {DaemonHost} from '../DaemonHost.js';
import type {MembershipService} from '../membership/MembershipService.js';
import type {
  LedgerAssignmentReplication,
  LedgerService,
} from './LedgerService.js';
import type {
  ClaimOutcome,
  ClaimRequest,
  Completion,
  LedgerAssignments,
  LedgerClientEffect,
  LedgerMemberEffect,
  LedgerMessage,
} from 'jackdawcove-ledger';
import type {
  DaemonName,
  Incarnation,
  Milliseconds,
  Teardown,
} from 'jackdawcove-shared';

import {
  decodeLedgerMessage,
  encodeLedgerMessage,
  LEDGER_TICK_INTERVAL_MS,
  LedgerClient,
  LedgerMember,
  mintIdempotencyKey,
} from 'jackdawcove-ledger';
import {isDaemonReachable} from 'jackdawcove-membership';
import {createFailure, mergeTeardowns} from 'jackdawcove-shared';
import {match} from 'ts-pattern';

type PendingClaim = {
  readonly key: string;
  readonly settle: (outcome: ClaimOutcome) => void;
  readonly startedAt: Milliseconds;
};

/** Connects this daemon's ledger client and ledger member to the messenger. */
export class LedgerRunner implements LedgerService {
  #client: LedgerClient;
  readonly #grantedKeys = new Set<string>();
  readonly #host: DaemonHost;
  #incarnation: Incarnation;
  #member: LedgerMember;
  readonly #membership: MembershipService;
  #nextClaimNumber = 1;
  readonly #pendingClaims = new Map<number, PendingClaim>();
  readonly #replication: LedgerAssignmentReplication;

  constructor(
    host: DaemonHost,
    membership: MembershipService,
    replication: LedgerAssignmentReplication,
  ) {
    this.#host = host;
    this.#incarnation = host.incarnation;
    this.#membership = membership;
    this.#replication = replication;
    this.#client = this.#createClient();
    this.#member = this.#createMember();
  }

  register(): Teardown {
    const {messenger, metrics} = this.#host;
    this.#adopt(this.#replication.getAssignments());
    return mergeTeardowns(
      messenger.registerListener('ledger', (message, {daemon}) => {
        const decoded = decodeLedgerMessage(message);
        if (decoded === undefined) {
          metrics.increment('ledger.malformed');
        } else {
          this.#receive(decoded, daemon);
        }
      }),
      this.#replication.registerListener((assignments) => {
        this.#adopt(assignments);
      }),
      this.#membership.registerViewListener(() => {
        this.#resetOnNewIncarnation();
      }),
      this.#host.registerTicker(LEDGER_TICK_INTERVAL_MS, () => {
        this.#tick();
      }),
    );
  }

  async claim(request: ClaimRequest): Promise<ClaimOutcome> {
    const claimNumber = this.#nextClaimNumber;
    this.#nextClaimNumber += 1;
    return new Promise((settle) => {
      const startedAt = this.#host.clock();
      this.#pendingClaims.set(claimNumber, {
        key: request.key,
        settle,
        startedAt,
      });
      this.#applyEffects(this.#client.claim(claimNumber, request, startedAt));
    });
  }

  complete(key: string, completion: Completion): void {
    // Grants of an earlier incarnation are no longer valid.
    if (this.#grantedKeys.delete(key)) {
      this.#applyEffects(
        this.#client.complete(key, completion, this.#host.clock()),
      );
    }
  }

  isHandedOver(): boolean {
    const {availabilityZone, name} = this.#host.settings.daemon;
    const view = this.#membership.getView();
    const successors = view
      .getZoneDaemons(availabilityZone)
      .filter(
        (daemon) =>
          daemon.name !== name &&
          !daemon.isDraining &&
          isDaemonReachable(daemon),
      );
    return this.#replication
      .getAssignments()
      .groups.filter((group) => group.availabilityZone === availabilityZone)
      .every(({continuing, generation, members}) => {
        const memberNames = members.map((member) => member.name);
        if (memberNames.includes(name)) {
          return successors.every((successor) =>
            memberNames.includes(successor.name),
          );
        }
        return memberNames.every((memberName) => {
          const record = view.getDaemon(memberName);
          return (
            continuing.includes(memberName) ||
            (record?.ledgerGeneration ?? generation) >= generation
          );
        });
      });
  }

  mintKey(): string {
    return mintIdempotencyKey(
      this.#host.settings.daemon.availabilityZone,
      this.#host.wallClock(),
      this.#host.randomNumber,
    );
  }

  #adopt(assignments: LedgerAssignments): void {
    const now = this.#host.clock();
    this.#applyEffects(this.#member.adopt(assignments, now));
    this.#applyEffects(this.#client.adopt(assignments, now));
  }

  #receive(message: LedgerMessage, from: DaemonName): void {
    this.#applyEffects(this.#member.receive(message, from));
    this.#applyEffects(this.#client.receive(message, from, this.#host.clock()));
  }

  #tick(): void {
    const now = this.#host.clock();
    this.#applyEffects(this.#member.tick(now));
    this.#applyEffects(this.#client.tick(now));
  }

  /**
   * Replaces client and member with empty ones when the incarnation of this
   * daemon has changed, as if the process had restarted. Pending claims are refused.
   */
  #resetOnNewIncarnation(): void {
    const record = this.#membership.getView().getLocalDaemon();
    if (record === undefined || record.incarnation === this.#incarnation) {
      return;
    }
    this.#incarnation = record.incarnation;
    this.#client = this.#createClient();
    this.#member = this.#createMember();
    this.#grantedKeys.clear();
    for (const claimNumber of this.#pendingClaims.keys()) {
      const failure = createFailure('outcomeUnknown', 'new incarnation');
      this.#settle(claimNumber, {failure, kind: 'refused'});
    }
    this.#adopt(this.#replication.getAssignments());
  }

  #createClient(): LedgerClient {
    const {availabilityZone, name} = this.#host.settings.daemon;
    return new LedgerClient({
      availabilityZone,
      getPresence: (daemon) => {
        const record = this.#membership.getView().getDaemon(daemon);
        return record === undefined
          ? undefined
          : {
              incarnation: record.incarnation,
              isReachable: isDaemonReachable(record),
            };
      },
      incarnation: this.#incarnation,
      name,
      wallClock: this.#host.wallClock,
    });
  }

  #createMember(): LedgerMember {
    return new LedgerMember({
      incarnation: this.#incarnation,
      name: this.#host.settings.daemon.name,
      wallClock: this.#host.wallClock,
    });
  }

  #applyEffects(
    effects: readonly (LedgerClientEffect | LedgerMemberEffect)[],
  ): void {
    for (const effect of effects) {
      match(effect)
        .with({kind: 'claimSettled'}, ({claimNumber, outcome}) => {
          this.#settle(claimNumber, outcome);
        })
        .with({kind: 'generationChanged'}, ({generation}) => {
          this.#host.recordEvent('ledgerServed', {generation});
          this.#membership.setLedgerGeneration(generation);
        })
        .with({kind: 'send'}, ({message, to}) => {
          this.#send(to, message);
        })
        .exhaustive();
    }
  }

  #send(to: DaemonName, message: LedgerMessage): void {
    const {name} = this.#host.settings.daemon;
    if (to === name) {
      queueMicrotask(() => {
        this.#receive(message, name);
      });
    } else {
      this.#host.messenger.send(to, 'ledger', encodeLedgerMessage(message));
    }
  }

  #settle(claimNumber: number, outcome: ClaimOutcome): void {
    const pending = this.#pendingClaims.get(claimNumber);
    if (pending === undefined) {
      return;
    }
    const {key, settle, startedAt} = pending;
    const {clock, metrics} = this.#host;
    this.#pendingClaims.delete(claimNumber);
    if (outcome.kind === 'granted') {
      this.#grantedKeys.add(key);
    }
    metrics.increment(`ledger.claims.${outcome.kind}`);
    metrics.timing('ledger.claim', clock() - startedAt);
    settle(outcome);
  }
}
