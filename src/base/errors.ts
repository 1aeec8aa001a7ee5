import ModernError from 'modern-errors';

/** Base class of all errors that this project throws deliberately. */
export const CicadatideError = ModernError.subclass('CicadatideError');

/** The operation was cancelled by its caller. */
export const CancelledError = CicadatideError.subclass('CancelledError');

/** The operation did not finish before its deadline. */
export const DeadlineError = CicadatideError.subclass('DeadlineError');

/** A settings file is missing, unreadable or invalid. The message names the remedy. */
export const SettingsError = CicadatideError.subclass('SettingsError');

/** An address of the settings can't be bound. The message names the remedy. */
export const ListenError = CicadatideError.subclass('ListenError');

/** A store call failed and nothing took effect: a read, or a write not sent or rejected. */
export const StoreUnavailableError = CicadatideError.subclass('StoreUnavailableError');

/** The reply of a store write was lost; the write may have taken effect. */
export const StoreReplyLostError = CicadatideError.subclass('StoreReplyLostError');

/** A claim was changed by another writer after it was read. */
export const ConflictError = CicadatideError.subclass('ConflictError');

/** A call to a target failed or its response was invalid; the target may have run the request. */
export const TargetFailedError = CicadatideError.subclass('TargetFailedError');

/** Returns the message of any thrown value. */
export function errMessage(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}

/** The target refused the connection or the request, so the work certainly did not run. */
export const TargetRefusedError = CicadatideError.subclass('TargetRefusedError');

/** A stream can't be resumed because the chunks after the given number are no longer stored. */
export const ReplayWindowError = CicadatideError.subclass('ReplayWindowError');
