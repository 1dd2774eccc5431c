// Keeps the package's library non-empty until its first source arrives.
