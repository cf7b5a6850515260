Feature: answers at the end of the process

  Scenario: a caller that has not read its whole answer
    Guards against an answer that is cut without a trace: it was written completely, and its process ends before its slow caller has read it.
    Given a caller that reads nothing of an answer of 20000000 bytes
    When the server of callers is closed
    Then the request is reported as dropped, since its connection closes

  Scenario Outline: a caller of HTTP/1.0 whose <kind> answer ends with its connection
    Guards against a caller that takes a part of an answer for all of it: the process ends with bytes of the answer in it, and its kernel closes
    the connection in an orderly way, which is the end of such an answer.
    Given a caller of HTTP/1.0 that reads nothing of a <kind> answer of 20000000 bytes without a length
    When the server of callers is closed, and the kernel closes its connections
    Then the caller's connection is reset, and the request is reported as dropped

    Examples:
      | kind    |
      | whole   |
      | partial |

  Scenario Outline: a caller that <what> before its request is handled
    Guards against an entry that is behind in reading, and runs requests whose callers have left before those of callers that wait.
    When a caller sends a request and <what>, while the process is busy
    Then the request is <outcome>

    Examples:
      | what                  | outcome     |
      | closes its connection | not handled |
      | waits for its answer  | handled     |

  Scenario: an answer that breaks off while it waits behind a whole one
    Guards against a whole answer that is cut, since the answer behind it on the connection of a caller of HTTP/1.0 breaks off and resets it.
    Given a caller of HTTP/1.0 that reads nothing of a whole answer of 3000000 bytes, and of one behind it that breaks off
    When the caller reads on
    Then it has 3000000 bytes of the first answer, and no byte of the second
