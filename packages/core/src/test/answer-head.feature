Feature: heads of answers
  Guards against a message that is no answer being passed on as one, and against a wrong belief about what ends a body.

  Scenario Outline: a message that is no answer
    When the head of an answer has status <status> and the field "<name>" with value "<value>"
    Then the head is invalid for its <problem>

    Examples:
      | status | name              | value         | problem         |
      | 0      | Content-Length    | 5             | status          |
      | 99     | Content-Length    | 5             | status          |
      | 101    | Upgrade           | other         | status          |
      | 199    | Content-Length    | 5             | status          |
      | 600    | Content-Length    | 5             | status          |
      | 999    | Content-Length    | 5             | status          |
      | 200    | Content Type      | text/plain    | field-name      |
      | 200    | X-A\x01           | text/plain    | field-name      |
      | 200    | X-A\xe9           | text/plain    | field-name      |
      | 200    | X-A\x7f           | text/plain    | field-name      |
      | 200    |                   | text/plain    | field-name      |
      | 200    | X-A               | a\x00b        | field-value     |
      | 200    | X-A               | a\x0ab        | field-value     |
      | 200    | Transfer-Encoding | gzip          | transfer-coding |
      | 200    | Transfer-Encoding | chunked, gzip | transfer-coding |
      | 200    | Transfer-Encoding | gzip, chunked | transfer-coding |
      | 200    | Content-Length    | 5, 5          | length          |
      | 200    | Content-Length    | -1            | length          |

  Scenario: a control byte in the reason
    When the head of an answer has status 200 and the reason "a\x01b"
    Then the head is invalid for its reason

  Scenario Outline: what ends the body of an answer
    When the head of an answer to <method> has status <status> and the field "<name>" with value "<value>"
    Then the body of the answer ends with "<framing>"

    Examples:
      | method | status | name              | value    | framing    |
      | GET    | 200    | Content-Length    | 5        | length     |
      | GET    | 200    | Transfer-Encoding | Chunked  | chunks     |
      | GET    | 200    | X-A               | a\x09b   | connection |
      | POST   | 599    | X-A               | caf\xe9  | connection |
      | GET    | 204    | X-A               | a        | empty      |
      | GET    | 304    | Content-Length    | 5        | empty      |
      | HEAD   | 200    | Content-Length    | 5        | empty      |

  Scenario: a length beside chunks
    When the head of an answer has a length and chunks
    Then the head is invalid for its length
