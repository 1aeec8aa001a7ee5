/** Start-time fair queueing (SFQ) across teams for one kind of job. */

/** Properties of a job that determine its position in a queue. */
export interface FairJob {
  readonly team: string;
  readonly costMs: number;
  readonly arrivedAt: number;
  /** Lower classes go first; see {@link priorityClass}. */
  readonly priorityClass: number;
  /** Time by which the response is due, on the agent's clock. */
  readonly deadline: number;
  /** Breaks ties between jobs. */
  readonly arrivalNumber: number;
  /** Returns true while the job should not start yet. */
  readonly isBlocked?: () => boolean;
}

/**
 * Waiting jobs of one kind. Teams are served in proportion to their weights: the team with the
 * lowest virtual start time is next. Within a team, jobs are ordered by priority class, lowest
 * first, then by deadline.
 */
export interface FairQueue<J extends FairJob> extends Iterable<J> {
  readonly size: number;
  /** Arrival time of the job that has waited longest, or Infinity. */
  readonly oldestArrivedAt: number;
  add(job: J): void;
  /** Removes a job without charging its cost to its team. */
  remove(job: J): boolean;
  /** Returns the first job that may start, without removing it. */
  next(mayStart: (job: J) => boolean): J | undefined;
  /** Removes a job because it starts, and charges its cost to its team. */
  dequeue(job: J): void;
  /** Returns an independent queue with the same jobs and charges, for a forecast. */
  copy(): FairQueue<J>;
}

/** Waiting time that raises a job by one priority level. */
export const agingMs = 2_000;

/**
 * Priority class with linear aging. It depends on the arrival time instead of the time waited, so
 * the order of two jobs never changes and a queue can stay sorted.
 */
export function priorityClass(priority: number, arrivedAt: number): number {
  return Math.floor(arrivedAt / agingMs) - priority;
}

/** Waiting jobs of one team in order, with the virtual start time of the next one. */
interface Flow<J> {
  virtualStart: number;
  jobs: J[];
}

/** Minimum weight; a weight of 0 would starve a team. */
const minWeight = 0.01;

function precedes(left: FairJob, right: FairJob): boolean {
  if (left.priorityClass !== right.priorityClass) return left.priorityClass < right.priorityClass;
  if (left.deadline !== right.deadline) return left.deadline < right.deadline;
  return left.arrivalNumber < right.arrivalNumber;
}

function insertSorted<J extends FairJob>(jobs: J[], job: J): void {
  let low = 0;
  let high = jobs.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (precedes(job, jobs[middle] as J)) high = middle;
    else low = middle + 1;
  }
  jobs.splice(low, 0, job);
}

export function createFairQueue<J extends FairJob>(
  teamWeight: (team: string) => number,
): FairQueue<J> {
  return createQueueFrom(teamWeight, new Map(), 0);
}

function createQueueFrom<J extends FairJob>(
  teamWeight: (team: string) => number,
  flows: Map<string, Flow<J>>,
  initialVirtualTime: number,
): FairQueue<J> {
  let virtualTime = initialVirtualTime;
  let size = 0;
  for (const { jobs } of flows.values()) size += jobs.length;

  const removeFrom = (flow: Flow<J> | undefined, job: J): boolean => {
    const index = flow?.jobs.indexOf(job) ?? -1;
    if (index < 0) return false;
    flow?.jobs.splice(index, 1);
    size -= 1;
    return true;
  };

  /** Removes teams without jobs whose start time is not ahead of the virtual time. */
  const removeIdleFlows = (): void => {
    for (const [team, flow] of flows) {
      if (flow.jobs.length === 0 && flow.virtualStart <= virtualTime) flows.delete(team);
    }
  };

  return {
    get size() {
      return size;
    },
    get oldestArrivedAt() {
      let oldestArrivedAt = Infinity;
      for (const { jobs } of flows.values()) {
        for (const { arrivedAt } of jobs) oldestArrivedAt = Math.min(oldestArrivedAt, arrivedAt);
      }
      return oldestArrivedAt;
    },
    add(job) {
      let flow = flows.get(job.team);
      if (!flow) {
        flow = { virtualStart: virtualTime, jobs: [] };
        flows.set(job.team, flow);
      }
      if (flow.jobs.length === 0) flow.virtualStart = Math.max(flow.virtualStart, virtualTime);
      insertSorted(flow.jobs, job);
      size += 1;
    },
    remove: (job) => removeFrom(flows.get(job.team), job),
    next(mayStart) {
      let best: J | undefined;
      let bestStart = Infinity;
      for (const { virtualStart, jobs } of flows.values()) {
        if (virtualStart > bestStart) continue;
        const job = jobs.find(mayStart);
        if (!job) continue;
        if (best && virtualStart === bestStart && !precedes(job, best)) continue;
        best = job;
        bestStart = virtualStart;
      }
      return best;
    },
    dequeue(job) {
      const flow = flows.get(job.team);
      if (!flow || !removeFrom(flow, job)) return;
      virtualTime = Math.max(virtualTime, flow.virtualStart);
      flow.virtualStart += job.costMs / Math.max(minWeight, teamWeight(job.team));
      removeIdleFlows();
    },
    copy() {
      const copies = new Map<string, Flow<J>>();
      for (const [team, { virtualStart, jobs }] of flows)
        copies.set(team, { virtualStart, jobs: [...jobs] });
      return createQueueFrom(teamWeight, copies, virtualTime);
    },
    *[Symbol.iterator]() {
      for (const { jobs } of flows.values()) yield* jobs;
    },
  };
}
