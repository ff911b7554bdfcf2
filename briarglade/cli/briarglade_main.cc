// The entry point of the one binary.

int main()
{
  return 0;
}
