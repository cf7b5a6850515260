Feature: invalid input is refused with a clear error and has no effect

  Scenario Outline: an invalid request
    Given a system for invalid input
    When a caller sends <request>
    Then the error has status <status>, code "<code>" and a message with '<message>'
    And the system still serves requests

    Examples:
      | request                            | status | code            | message                                |
      | a body that is not JSON            | 400    | bad-request     | The body is not JSON                   |
      | a body without a model             | 400    | bad-request     | The field "model" is missing           |
      | a stream flag that is a string     | 400    | bad-request     | The field "stream" must be             |
      | an unknown adapter                 | 404    | unknown-model   | No adapter or version "nobody"         |
      | an unknown version                 | 404    | unknown-model   | No adapter or version "a@99"           |
      | an unknown service                 | 404    | unknown-service | No plain service "nothing"             |
      | a model service as a plain one     | 404    | unknown-service | No plain service "chat"                |
      | a deadline that is no number       | 400    | bad-deadline    | must be a whole number of milliseconds |
      | an unknown class                   | 400    | bad-request     | x-hazelford-class must be              |
      | a body over the limit              | 413    | too-large       | The body exceeds 2000 bytes            |
      | a body over the limit, in chunks   | 413    | too-large       | The body exceeds 2000 bytes            |
      | a key of 300 characters            | 400    | bad-request     | Idempotency-Key must be at most 255    |

  Scenario: headers too large
    Given a system for invalid input
    When a caller sends headers of 40 kB
    Then the answer is 431
    And the system still serves requests

  Scenario: internal headers of callers and hop-by-hop headers are not passed on
    Given a system for invalid input
    When a caller calls a plain service with internal and hop-by-hop headers
    Then the service receives only the end-to-end headers

  Scenario: a service whose dependency is down refuses at once
    Symptom: sign-ups wait for their deadline although the booking service is known to be down.
    Events: every upstream of a dependency is drained.
    Cause: the entry does not consider dependencies between services.
    Given a system whose service "front" depends on "booking"
    When the booking upstream is drained
    Then a call of "front" is refused at once as "dependency-down"

  Scenario: the operator interface requires its token
    Given an operator interface
    Then it answers 401 without a token and with a wrong one, and 200 with the right one
