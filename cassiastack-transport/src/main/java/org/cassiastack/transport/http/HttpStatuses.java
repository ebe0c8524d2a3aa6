package org.cassiastack.transport.http;

import org.cassiastack.model.ResultCode;

/** Maps result codes to HTTP status codes. */
final class HttpStatuses {
  static final int OK = 200;

  private static final int BAD_REQUEST = 400;
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int TOO_LARGE = 413;
  private static final int UNPROCESSABLE = 422;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int BAD_GATEWAY = 502;
  private static final int UNAVAILABLE = 503;

  private HttpStatuses() {}

  static int of(ResultCode code) {
    return switch (code) {
      case COMPLETE, ACCEPTED -> OK;
      case MALFORMED, INVALID_KEY, INVALID_TASK_COUNT, INVALID_SETTINGS -> BAD_REQUEST;
      case UNAUTHORIZED -> UNAUTHORIZED;
      case UNKNOWN_SERVICE, UNKNOWN_CUSTOMER, UNKNOWN_JOB, UNKNOWN_REVISION -> NOT_FOUND;
      case KEY_REUSED,
          KEY_EXPIRED,
          CANCELLED_NOT_RUN,
          CANCELLED_MAY_HAVE_RUN,
          STALE_BASE,
          CHANGE_ID_REUSED ->
          CONFLICT;
      case TOO_LARGE -> TOO_LARGE;
      case FITS_NO_WORKER, INVALID_CONFIGURATION -> UNPROCESSABLE;
      case QUOTA_EXCEEDED -> TOO_MANY_REQUESTS;
      case TASK_FAILED -> BAD_GATEWAY;
      default -> UNAVAILABLE;
    };
  }
}
